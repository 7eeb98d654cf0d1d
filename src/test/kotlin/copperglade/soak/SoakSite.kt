package copperglade.soak

import copperglade.app.ProcessHeap
import copperglade.protocol.Endpoint
import copperglade.protocol.JobKind
import copperglade.protocol.Json
import copperglade.protocol.MemberId
import copperglade.protocol.TaskId
import copperglade.protocol.writeJsonArray
import copperglade.protocol.writeJsonObject
import copperglade.sim.SimSite
import copperglade.standin.CloudType
import copperglade.standin.StandInCloud
import copperglade.standin.StandInState
import copperglade.standin.StandInWorker
import copperglade.standin.WorkerHost
import copperglade.standin.WorkerSite
import copperglade.standin.World
import copperglade.standin.leaderAmong
import copperglade.standin.workerOf
import copperglade.transport.FaultBarrier
import copperglade.transport.HttpClient
import copperglade.transport.NettyEventLoop
import copperglade.transport.NettyHttpClient
import copperglade.transport.NettyHttpServer
import copperglade.transport.Reply
import copperglade.transport.Request
import copperglade.transport.RequestHandler
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.nio.file.Files
import java.nio.file.Path
import java.util.Random
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Controllers as real processes on 127.0.0.1 with stand-ins for everything around them in this process. Every link runs through
 * [network]: each controller has a place of its own to reach the state service, the cloud, each worker and each other controller.
 */
class SoakSite(val options: SoakOptions, seed: Long, val folder: Path) : AutoCloseable {
    /** Where the workers of one machine at a time listen: a place for each controller. */
    private inner class Slot {
        var worker: StandInWorker? = null
        val endpoints: List<Endpoint> = (0 until options.nodes).map { node -> listen { commandsOf(node) } }

        private fun commandsOf(node: Int) = RequestHandler { request, responder ->
            val machine = worker?.name ?: return@RequestHandler
            // The worker that listens when the message arrives, which may be a later one than when the message was sent.
            val handler = RequestHandler { inner, answer ->
                worker?.takeIf { it.name == machine }?.handle(inner) { answer.send(Reply(it.status, addressed(it.body, endpoints[node]))) }
            }
            network.link(name(node), machine, handler).handle(request, responder)
        }
    }

    private val failure = CompletableFuture<Throwable>()
    val loop = NettyEventLoop(FaultBarrier { failure.complete(it) })
    private val http = NettyHttpClient(loop, ProcessHeap.maxBytes)
    val random = Random(seed)
    val network = SoakNetwork(loop, random)
    val referee = SoakReferee({ loop.now().millis }, (CANCEL_S * MS_PER_S).toLong(), teamCpus)
    lateinit var state: StandInState
        private set
    private lateinit var cloud: StandInCloud
    val workers = LinkedHashMap<String, StandInWorker>()
    private val machines = HashMap<String, StandInCloud.Machine>()
    private val slots = ArrayList<Slot>()
    private val slotOf = HashMap<String, Slot>()
    private val clients = freeEndpoints(options.nodes)
    private val clusters = freeEndpoints(options.nodes)
    val controllers: List<ControllerProcess>
    private val usersCaller = network.caller(SoakNetwork.USERS, http, ::nameOf)
    private val teamCpus: Double get() = options.workers * MACHINE_CPUS * TEAM_CPU_SHARE

    /** A fault of the harness itself, which makes a run worth nothing. */
    val fault: Throwable? get() = failure.getNow(null)

    /** What tasks do, by job; null for one that goes on until it is stopped. */
    val workSeconds = HashMap<TaskId, Double>()

    private val world = object : World {
        override fun spec(task: TaskId) = referee.jobs[task.job]?.spec?.takeIf { task.index < it.tasks }

        override fun workS(task: TaskId) =
            if (spec(task)?.kind == JobKind.ARRAY) workSeconds.getOrPut(task) { MIN_WORK_S + random.nextDouble() * WORK_RANGE_S } else null

        override fun started(worker: StandInWorker, task: TaskId) = referee.started(task, placeOf(worker))

        override fun ended(worker: StandInWorker, task: TaskId, done: Boolean) = referee.ended(task, placeOf(worker), done)
    }

    init {
        Files.createDirectories(folder)
        onLoop {
            state = StandInState(loop)
            val type = CloudType("box", MACHINE_CPUS, MACHINE_CPUS * 8, BOOT_S, options.workers / 2)
            cloud = StandInCloud(loop, listOf(type), SimSite.ZONES, ::boot, CLOUD_REQUESTS_PER_S) { gone(it) }
        }
        repeat(options.workers + options.workers / SPARE_SLOTS_ONE_IN + 2) { slots += Slot() }
        val command = ControllerProcess.startCommand(Path.of("").toAbsolutePath(), options.heapMb)
        controllers = (0 until options.nodes).map { node ->
            val settings = folder.resolve("settings-$node.json")
            Files.write(settings, settingsOf(node))
            ControllerProcess(command, settings, folder.resolve("controller-$node.log").toFile())
        }
    }

    fun name(node: Int) = "node-$node"

    private fun nameOf(endpoint: Endpoint): String = clients.indexOf(endpoint).let { if (it >= 0) name(it) else "$endpoint" }

    /** Runs [action] where all decisions of the harness are made, and waits for it. */
    fun <T> onLoop(action: () -> T): T {
        val done = CompletableFuture<T>()
        loop.after(Duration.ZERO) { done.complete(action()) }
        return done.get(LOOP_TIMEOUT_S, TimeUnit.SECONDS)
    }

    private fun listen(handler: () -> RequestHandler): Endpoint =
        NettyHttpServer(loop, MAX_CONNECTIONS, MAX_BODY_BYTES, handler()).listen(Endpoint(HOST, 0))

    private fun place(from: Int, to: String, handler: RequestHandler) = listen { network.link(name(from), to, handler) }

    private fun toController(node: Int) = RequestHandler { request, responder ->
        http.call(clusters[node], request, PEER_TIMEOUT) { reply -> reply?.let(responder::send) }
    }

    private fun settingsOf(node: Int): ByteArray = Json.write {
        writeJsonObject {
            writeStringField("member", name(node))
            writeStringField("location", zoneOf(node))
            writeStringField("client_listen", "${clients[node]}")
            writeStringField("cluster_listen", "${clusters[node]}")
            writeJsonArray("known") {
                for (other in (0 until options.nodes) - node) {
                    writeJsonObject {
                        writeStringField("member", name(other))
                        writeStringField("location", zoneOf(other))
                        writeStringField("endpoint", "${place(node, name(other), toController(other))}")
                    }
                }
            }
            writeJsonObject("outside") {
                writeStringField("cloud", "${place(node, SoakNetwork.CLOUD, cloud)}")
                writeStringField("state", "${place(node, SoakNetwork.STATE, state)}")
            }
            writeFieldName("deployment")
            writeRawValue(deployment())
        }
    }

    /** The state service's budgets grow with the machines, as they do at the operators' sites. */
    private fun deployment(): String {
        val growth = maxOf(1.0, options.workers / REFERENCE_WORKERS)
        return DEPLOYMENT
            .replace("TEAM_CPUS", "$teamCpus")
            .replace("STATE_RPS", "${STATE_REQUESTS_PER_S * growth}")
            .replace("STATE_WRITE_RPS", "${STATE_WRITES_PER_S * growth}")
    }

    private fun zoneOf(node: Int) = SimSite.ZONES[node % SimSite.ZONES.size]

    private fun addressed(body: ByteArray, endpoint: Endpoint): ByteArray =
        body.decodeToString().replace("\"addr\":\"$NOWHERE\"", "\"addr\":\"$endpoint\"").encodeToByteArray()

    private fun placeOf(worker: StandInWorker) = SoakReferee.Place(worker.name, worker.type, worker.zone, worker.spot, worker)

    // ---- machines ----

    private fun boot(machine: StandInCloud.Machine) {
        val slot = slotOf[machine.name] ?: slots.removeFirstOrNull() ?: return
        slotOf[machine.name] = slot
        machines[machine.name] = machine
        val caller = HttpClient { to, request, timeout, done ->
            val node = clients.indexOf(to)
            http.call(to, Request(request.method, request.path, addressed(request.body, slot.endpoints[node])), timeout, done)
        }
        val host = WorkerHost(loop, network.caller(machine.name, caller, ::nameOf), world)
        val site = WorkerSite(HEARTBEAT_S, LEASE_S, (0 until options.nodes).map { MemberId(name(it)) to clients[it] })
        val worker = workerOf(machine, host, site, NOWHERE, FETCH_GB_PER_S)
        slot.worker = worker
        workers[machine.name] = worker
        worker.start()
    }

    private fun gone(machine: StandInCloud.Machine) {
        workers.remove(machine.name)?.die()
        slotOf.remove(machine.name)?.let {
            it.worker = null
            slots += it
        }
    }

    fun killMachine(name: String) {
        machines[name]?.takeIf { !it.gone }?.let(cloud::take)
    }

    /** The machine loses power and is back at once; its worker counts from the start again. */
    fun rebootMachine(name: String) {
        val machine = machines[name]?.takeIf { !it.gone } ?: return
        workers.remove(name)?.die()
        loop.after((100 + random.nextInt(600)).milliseconds) { if (!machine.gone) boot(machine) }
    }

    // ---- controllers ----

    /** Who leads, by the state service's own records. */
    fun leader(): Int? = state.leaderAmong((0 until options.nodes).map(::name))

    fun crash(node: Int, backAfterMs: Int) {
        controllers[node].kill()
        loop.after(backAfterMs.milliseconds) { controllers[node].start() }
    }

    /** Restarts controllers that ended though nobody ended them, as the platform would. */
    fun restartEnded() = controllers.filter { it.noteOwnEnd() }.forEach { loop.after(RESTART_DELAY) { it.start() } }

    fun ask(node: Int, request: Request, done: (Reply?) -> Unit) = usersCaller.call(clients[node], request, USER_TIMEOUT, done)

    override fun close() {
        controllers.forEach { it.kill() }
        loop.group.shutdownGracefully(0, 0, TimeUnit.SECONDS)
    }

    companion object {
        const val HEARTBEAT_S = 1.0
        const val LEASE_S = 6.0
        const val CANCEL_S = 16.0
        private const val HOST = "127.0.0.1"
        private val NOWHERE = Endpoint(HOST, 1)
        private const val MS_PER_S = 1000.0
        private const val MACHINE_CPUS = 16.0
        private const val TEAM_CPU_SHARE = 0.8
        private const val BOOT_S = 1.5
        private const val CLOUD_REQUESTS_PER_S = 6.0
        private const val REFERENCE_WORKERS = 20.0
        private const val STATE_REQUESTS_PER_S = 200.0
        private const val STATE_WRITES_PER_S = 50.0
        private const val FETCH_GB_PER_S = 3.0
        private const val MIN_WORK_S = 0.5
        private const val WORK_RANGE_S = 8.0
        private const val SPARE_SLOTS_ONE_IN = 4
        private const val MAX_CONNECTIONS = 4_000
        private const val MAX_BODY_BYTES = 16 * 1024 * 1024
        private const val LOOP_TIMEOUT_S = 30L
        private val PEER_TIMEOUT = 5.seconds
        private val USER_TIMEOUT = 5.seconds
        private val RESTART_DELAY = 1.seconds
        private const val DEPLOYMENT = """{"zones":["north","south"],"teams":[{"name":"team","cpus":16.0,"cpus_max":TEAM_CPUS,"gpus":0.0,
            "gpus_max":0.0}],"workers":{"report_s":$HEARTBEAT_S,"lease_s":$LEASE_S,"cancel_s":$CANCEL_S},"state":{"rps":STATE_RPS,
            "write_rps":STATE_WRITE_RPS,"value_kb":4.0,"txn_ops":12},"cloud":{"rps":$CLOUD_REQUESTS_PER_S,"list_lag_s":0.5},
            "resources":{"fd_limit":1500}}"""

        /** Below the ports that the system gives out by itself, so that nobody else is given one before its controller listens there. */
        private val nextPort = AtomicInteger(FIRST_PORT + (ProcessHandle.current().pid() % PORT_RANGE).toInt())
        private const val FIRST_PORT = 20_000
        private const val PORT_RANGE = 10_000

        private fun freeEndpoints(number: Int): List<Endpoint> =
            generateSequence { nextPort.getAndIncrement() }
                .filter(::isFree)
                .take(number)
                .map { Endpoint(HOST, it) }
                .toList()

        private fun isFree(port: Int) = try {
            ServerSocket(port, 1, InetAddress.getByName(HOST)).use { true }
        } catch (_: IOException) {
            false
        }
    }
}
