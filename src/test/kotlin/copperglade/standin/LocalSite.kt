package copperglade.standin

import copperglade.app.ControllerLauncher
import copperglade.app.ProcessHeap
import copperglade.protocol.Endpoint
import copperglade.protocol.JobId
import copperglade.protocol.JobKind
import copperglade.protocol.JobSpec
import copperglade.protocol.JobSpecCodec
import copperglade.protocol.Json
import copperglade.protocol.MemberId
import copperglade.protocol.ParsedSubmission
import copperglade.protocol.TaskId
import copperglade.protocol.TeamName
import copperglade.settings.OperatorSettings
import copperglade.settings.Peer
import copperglade.settings.PlatformSettings
import copperglade.settings.ServiceLevelObjectives
import copperglade.settings.Team
import copperglade.transport.NettyEventLoop
import copperglade.transport.NettyHttpClient
import copperglade.transport.NettyHttpServer
import copperglade.transport.RequestHandler
import kotlin.time.Duration

/** Three controllers on loopback with stand-ins around them, for trying things out by hand. Ends with the process. */
private class LocalSite {
    private val loop = NettyEventLoop()
    private val http = NettyHttpClient(loop, ProcessHeap.maxBytes)
    private val specs = HashMap<JobId, JobSpec>()
    private val state = StandInState(loop)
    private var nextPort = FIRST_WORKER_PORT
    private val workers = HashMap<String, StandInWorker>()
    private val cloud = StandInCloud(loop, listOf(CloudType("box", 8.0, 64.0, 5.0, 4)), ZONES, ::boot) { workers.remove(it.name)?.die() }

    private val world = object : World {
        override fun spec(task: TaskId) = specs[task.job]

        override fun workS(task: TaskId) = specs[task.job]?.takeIf { it.kind == JobKind.ARRAY }?.estimatedSeconds

        override fun started(worker: StandInWorker, task: TaskId) = println("$task runs on ${worker.name}")

        override fun ended(worker: StandInWorker, task: TaskId, done: Boolean) =
            println("$task ${if (done) "is done" else "was stopped"} on ${worker.name}")
    }

    private fun client(node: Int) = Endpoint(HOST, CLIENT_PORT + node)

    private fun cluster(node: Int) = Endpoint(HOST, CLUSTER_PORT + node)

    private fun member(node: Int) = MemberId("local-$node")

    fun start() {
        NettyHttpServer(loop, MAX_CONNECTIONS, handler = recordingJobSpecs(state)).listen(STATE)
        NettyHttpServer(loop, MAX_CONNECTIONS, handler = cloud).listen(CLOUD)
        repeat(NODES) { ControllerLauncher.start(settings(it), OperatorSettings()) }
        println("controllers: ${(0 until NODES).joinToString { "http://${client(it)}" }}")
    }

    /** Users upload a job's description to where workers find it; here it is read off the accepted record. */
    private fun recordingJobSpecs(next: RequestHandler) = RequestHandler { request, responder ->
        if (request.path == "/multi") {
            Json.read(request.body)?.get("writes")?.forEach { write ->
                val job = JobSpecCodec.parse(write.get("data")?.get("spec")) as? ParsedSubmission.Valid
                job?.let { specs[it.spec.id] = it.spec }
            }
        }
        next.handle(request, responder)
    }

    private fun boot(machine: StandInCloud.Machine) {
        val endpoint = Endpoint(HOST, nextPort++)
        val site = WorkerSite(HEARTBEAT_S, LEASE_S, (0 until NODES).map { member(it) to client(it) })
        val worker = workerOf(machine, WorkerHost(loop, http, world), site, endpoint, fetchGbPerSecond = 0.5)
        workers[machine.name] = worker
        loop.after(Duration.ZERO) { worker.start() }
        Thread { NettyHttpServer(loop, MAX_CONNECTIONS, handler = worker).listen(endpoint) }.start()
    }

    private fun settings(node: Int) = PlatformSettings(
        member = member(node),
        zone = ZONES[node % ZONES.size],
        clientListen = client(node),
        clusterListen = cluster(node),
        peers = (0 until NODES).filter { it != node }.map { Peer(member(it), ZONES[it % ZONES.size], cluster(it)) },
        cloud = CLOUD,
        state = STATE,
        zones = ZONES,
        teams = listOf(Team(TeamName("team"), 16.0, 48.0, 0.0, 0.0)).associateBy { it.name },
        objectives = ServiceLevelObjectives(),
        heartbeatIntervalSeconds = HEARTBEAT_S,
        workerLeaseSeconds = LEASE_S,
        cancellationDeadlineSeconds = 30.0,
        stateRequestsPerSecond = 200.0,
        stateWritesPerSecond = 50.0,
        maxValueKb = 4.0,
        maxTransactionWrites = 12,
        cloudRequestsPerSecond = 6.0,
        machineListLagSeconds = 1.0,
        fileDescriptorLimit = MAX_CONNECTIONS,
    )

    private companion object {
        const val HOST = "127.0.0.1"
        const val NODES = 3
        const val MAX_CONNECTIONS = 500
        const val CLIENT_PORT = 18080
        const val CLUSTER_PORT = 18180
        const val FIRST_WORKER_PORT = 18300
        const val HEARTBEAT_S = 2.0
        const val LEASE_S = 10.0
        val ZONES = listOf("here", "there")
        val STATE = Endpoint(HOST, 18200)
        val CLOUD = Endpoint(HOST, 18201)
    }
}

fun main() {
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", System.getenv("LOG_LEVEL") ?: "info")
    LocalSite().start()
    Thread.currentThread().join()
}
