package copperglade.app

import copperglade.protocol.Endpoint
import copperglade.protocol.Json
import copperglade.protocol.writeJsonObject
import copperglade.settings.OperatorSettings
import copperglade.settings.PlatformSettings
import copperglade.settings.PlatformSettingsParser
import copperglade.transport.HttpStatus
import copperglade.transport.Method
import copperglade.transport.NettyEventLoop
import copperglade.transport.NettyHttpClient
import copperglade.transport.NettyHttpServer
import copperglade.transport.Reply
import copperglade.transport.Request
import copperglade.transport.RequestHandler
import copperglade.transport.Responder
import picocli.CommandLine.Command
import java.net.ServerSocket
import java.util.concurrent.Callable
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A short run of a controller against fixed replies, made once by the build. The classes that the run loads go into the JVM's
 * class-data-sharing archive, which shortens the start of a controller. The run checks no behaviour.
 */
@Command(name = "rehearse", hidden = true, description = ["Loads the program's classes once; used by the build."])
class ClassDataSharingTraining : Callable<Int> {
    private var stateRevision = 1L

    override fun call(): Int {
        val loop = NettyEventLoop()
        val ports = List(PORT_COUNT) { ServerSocket(0) }.onEach { it.close() }.map { it.localPort }
        val externalServices = RequestHandler { request, responder -> replyAsExternalService(loop, request, responder) }
        NettyHttpServer(loop, CONNECTION_LIMIT, handler = externalServices).listen(Endpoint("127.0.0.1", ports[0]))
        ControllerLauncher.start(settings(ports), OperatorSettings())
        val requestRounds = RequestRounds(loop, NettyHttpClient(loop, ProcessHeap.maxBytes), ports)
        loop.after(START_DELAY) { requestRounds.run(1) }
        requestRounds.finished.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)
        return 0
    }

    /** Sends [ROUND_COUNT] rounds of a user's and a worker's requests to the controller. */
    private inner class RequestRounds(private val loop: NettyEventLoop, private val http: NettyHttpClient, private val ports: List<Int>) {
        val finished = CountDownLatch(ROUND_COUNT)
        private val controller = Endpoint("127.0.0.1", ports[1])

        fun run(number: Int) {
            send(Request(Method.GET, "/healthz"))
            send(Request(Method.POST, "/submissions", SUBMISSION_JSON.toByteArray()))
            send(Request(Method.GET, "/submissions/job-1"))
            send(Request(Method.POST, "/checkin", heartbeat(number, ports[0]).toByteArray()))
            loop.after(ROUND_INTERVAL) {
                finished.countDown()
                if (number < ROUND_COUNT) run(number + 1)
            }
        }

        private fun send(request: Request) = http.call(controller, request, REQUEST_TIMEOUT) {}
    }

    /** Replies as the state service, the cloud or a worker would. */
    private fun replyAsExternalService(loop: NettyEventLoop, request: Request, responder: Responder) {
        val path = request.path
        val text = when {
            path == "/holds" -> """{"permit":${++stateRevision}}"""
            path.startsWith("/holds/") -> "{}"
            path.startsWith("/kv?") -> """{"entries":[],"truncated":false,"ledger":$stateRevision}"""
            path == "/multi" -> """{"ledger":${++stateRevision}}"""
            path.startsWith("/changes") -> """{"ledger":$stateRevision,"events":[]}"""
            path == "/machine_types" -> MACHINE_TYPES_JSON
            path.startsWith("/machines?") -> """{"trucks":[],"truncated":false}"""
            path == "/do" -> heartbeat(COMMAND_REPLY_SEQUENCE_NUMBER, 1)
            else -> null
        }
        val reply = if (text == null) Reply(HttpStatus.SERVICE_UNAVAILABLE) else Reply(HttpStatus.OK, text.toByteArray())
        loop.after(REPLY_DELAY) { responder.send(reply) }
    }

    private fun heartbeat(sequenceNumber: Int, port: Int) = """{"truck":"i-000001","addr":"127.0.0.1:$port","fleet":"small",
        "depot":"here","borrowed":false,"shift":1,"tally":$sequenceNumber,"baton":100,"recallS":null,
        "boxes":[{"box":"job-1/0","trip":1,"status":"running"}]}"""

    private fun settings(ports: List<Int>): PlatformSettings {
        val externalServices = "127.0.0.1:${ports[0]}"
        val bytes = Json.write {
            writeJsonObject {
                writeStringField("member", "rehearsal")
                writeStringField("location", "here")
                writeStringField("client_listen", "127.0.0.1:${ports[1]}")
                writeStringField("cluster_listen", "127.0.0.1:${ports[2]}")
                writeArrayFieldStart("known")
                writeJsonObject {
                    writeStringField("member", "nobody")
                    writeStringField("location", "here")
                    writeStringField("endpoint", "127.0.0.1:${ports[2]}")
                }
                writeEndArray()
                writeJsonObject("outside") {
                    writeStringField("cloud", externalServices)
                    writeStringField("state", externalServices)
                }
                writeFieldName("deployment")
                writeRawValue(DEPLOYMENT_JSON)
            }
        }
        return PlatformSettingsParser.parse(bytes)
    }

    private companion object {
        const val PORT_COUNT = 3
        const val CONNECTION_LIMIT = 100
        const val ROUND_COUNT = 30
        const val TIMEOUT_SECONDS = 20L
        const val COMMAND_REPLY_SEQUENCE_NUMBER = 100_000
        val START_DELAY = 500.milliseconds
        val ROUND_INTERVAL = 100.milliseconds
        val REQUEST_TIMEOUT = 1.seconds
        val REPLY_DELAY = 2.milliseconds
        const val MACHINE_TYPES_JSON = """{"fleets":[{"name":"small","vcpus":4,"gpus":0,"memoryGb":16,"localGb":20,"pullGbPerS":1.0,
            "price":1.0,"lowPrice":0.5,"bootS":30,"depots":["here"]}]}"""
        const val SUBMISSION_JSON = """{"nameId":"job-1","load":"l","crew":"t","haul":"array","urgency":"normal","boxes":2,"vcpus":1.0,
            "gpus":0.0,"memoryGb":1.0,"manifest":"img-1","pullGb":1.0,"fleets":null,"depot":null,"oneZone":false,
            "spread":false,"borrowed":true,"etaS":5.0,"waypointS":0.0,"unloadS":0.0,"dueS":20.0}"""
        const val DEPLOYMENT_JSON = """{"nodes":1,"zones":["here"],"teams":[{"name":"t","cpus":0.0,"cpus_max":0.0,"gpus":0.0,
            "gpus_max":0.0}],"workers":{"report_s":1.0,"lease_s":5.0,"cancel_s":20.0},"state":{"rps":200.0,
            "write_rps":50.0,"value_kb":4.0,"txn_ops":12},"cloud":{"rps":5.0,"list_lag_s":1.0},
            "resources":{"fd_limit":500}}"""
    }
}
