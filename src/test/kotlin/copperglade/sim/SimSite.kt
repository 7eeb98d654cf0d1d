package copperglade.sim

import copperglade.protocol.JobId
import copperglade.protocol.JobSpec
import copperglade.protocol.JobSpecCodec
import copperglade.protocol.JobStatus
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
import copperglade.standin.StandInState
import copperglade.standin.StandInWorker
import copperglade.standin.leaderAmong
import copperglade.storage.EndRecord
import copperglade.storage.Keys
import copperglade.storage.RecordCodec
import copperglade.storage.StateLimits
import copperglade.transport.Reply
import copperglade.transport.Request
import kotlin.time.Duration.Companion.seconds

/**
 * A whole site in simulated time: controllers of the real code, stand-ins for everything around them, users, and a referee that checks the
 * protocol's rules whenever something starts, ends or is answered. Its faults are in `SimSiteFaults.kt`.
 */
class SimSite(
    val sim: Simulation,
    private val operatorSettings: OperatorSettings = OperatorSettings(),
    private val scale: SiteScale = SiteScale(),
    slowMachine: String? = null,
    /** The lease that is configured at the controllers; other than the workers' own only to see the referee at work. */
    private val configuredLeaseS: Double = scale.leaseSeconds,
    private val configuredCpusMax: Double = scale.teamCpus,
    private val configuredCancelS: Double = scale.cancelSeconds,
    val nodes: Int = 3,
    private val otherTeam: Team? = null,
    /** Another staleness limit for the controllers of the first zone, only to see the referee at work. */
    private val stalenessLimitOverrideS: Double? = null,
    /** The state service's limits as they are configured at each controller when it starts. */
    private val limitsOf: (node: Int) -> StateLimits = { scale.stateLimits },
    /** The number of jobs that were over before the scenario began. */
    endedBefore: Int = 0,
    /** Whether a fault in a decision ends the controller as it ends a real process; else the test fails with it. */
    faultsEndProcess: Boolean = false,
    /** Sees every message between the processes and users of this site. */
    wireObserver: WireObserver = WireObserver {},
) {
    val network = SimNetwork(sim, wireObserver)
    private val externalLoop = SimLoop(sim)
    val state = StandInState(externalLoop)
    private val referee = SiteReferee(sim, scale, otherTeam, ::workers)
    internal val machines = SimMachines(sim, network, externalLoop, scale, referee, slowMachine, nodes)
    private val userAgents = SimUsers(sim, network, externalLoop, nodes, referee)
    internal val controllers = SimControllers(sim, network, ::settings, ::operatorSettingsOf, faultsEndProcess) { violation ->
        referee.breach("invariant", "${violation.invariant}: ${violation.detail}")
    }

    init {
        network.commandsSent = referee::checkCommands
        network.listen(SimAddresses.STATE, "state", externalLoop, state)
        network.listen(SimAddresses.CLOUD, "cloud", externalLoop, machines.cloud)
        repeat(endedBefore) {
            state.put(Keys.ended(JobId("job-${FIRST_ENDED_JOB + it}")), RecordCodec.encode(EndRecord(JobStatus.DONE, 1)))
        }
        repeat(nodes) { controllers.start(it) }
    }

    private fun settings(node: Int) = PlatformSettings(
        member = MemberId(SimAddresses.controllerName(node)),
        zone = zoneOfController(node),
        clientListen = SimAddresses.client(node),
        clusterListen = SimAddresses.cluster(node),
        peers = (0 until nodes).filter { it != node }.map(::peer),
        cloud = SimAddresses.CLOUD,
        state = SimAddresses.STATE,
        zones = ZONES,
        teams = listOfNotNull(Team(TEAM, scale.guaranteedCpus, configuredCpusMax, 0.0, 0.0), otherTeam).associateBy { it.name },
        objectives = ServiceLevelObjectives(),
        heartbeatIntervalSeconds = scale.heartbeatIntervalSeconds,
        workerLeaseSeconds = configuredLeaseS,
        cancellationDeadlineSeconds = configuredCancelS,
        stateRequestsPerSecond = limitsOf(node).requestsPerSecond,
        stateWritesPerSecond = limitsOf(node).writesPerSecond,
        maxValueKb = limitsOf(node).valueKb,
        maxTransactionWrites = limitsOf(node).transactionWrites,
        cloudRequestsPerSecond = scale.cloudRequestsPerSecond,
        machineListLagSeconds = 0.5,
        fileDescriptorLimit = 3000,
    )

    private fun peer(node: Int) = Peer(MemberId(SimAddresses.controllerName(node)), zoneOfController(node), SimAddresses.cluster(node))

    private fun operatorSettingsOf(node: Int): OperatorSettings =
        if (stalenessLimitOverrideS != null && node % 2 == 0) {
            OperatorSettings(stalenessLimit = stalenessLimitOverrideS.seconds)
        } else {
            operatorSettings
        }

    internal fun zoneOfController(node: Int) = ZONES[node % 2]

    private fun workers(): Collection<StandInWorker> = machines.workers

    // ---- controllers and machines ----

    /** The leader by the state service's own records; null while there is none. */
    fun leader(): Int? = state.leaderAmong((0 until nodes).map(SimAddresses::controllerName))

    /** The controller that the worker reports to. */
    fun ownerOf(workerName: String): Int = machines.worker(workerName).reportsTo

    fun zoneOf(workerName: String): String = machines.worker(workerName).zone

    fun workerNames(): List<String> = machines.names.toList()

    fun workerCount() = machines.workers.size

    val machinesLaunched: Int get() = machines.cloud.launchedInAll

    val leasesOrMachinesLost: Long get() = machines.leasesOrMachinesLost

    fun checkpointingTasks(): Map<TaskId, StandInWorker> = machines.checkpointingTasks()

    /** How many times as long as usual the machine of this number takes to boot; null: it never does. */
    var bootTimeFactor: (Int) -> Double?
        get() = machines.cloud.bootTimeFactor
        set(factor) {
            machines.cloud.bootTimeFactor = factor
        }

    /** Requests that the cloud refused for exceeding its rate limit. */
    val cloudRefusals: Int get() = machines.cloud.refused

    // ---- users ----

    val users: HashMap<JobId, SimUser> get() = referee.users

    /** Jobs whose cancellation was confirmed to their users. */
    val confirmedCancellations: Int get() = users.values.count { it.cancelledAtMs != null }

    /** Submits a job that depends on [dependencies], which were submitted before; [work] is as in [SimUser]. */
    fun submit(spec: JobSpec, dependencies: List<JobId> = emptyList(), work: (Int) -> Double?) =
        userAgents.submit(spec, dependencies, work)

    fun cancel(id: JobId) = userAgents.cancel(id)

    fun repeatSubmission(user: SimUser) = userAgents.repeatSubmission(user)

    /** One poll in addition to the periodic ones, through a random controller. */
    fun poll(id: JobId) = userAgents.poll(id)

    fun poll(id: JobId, node: Int) = userAgents.poll(id, node)

    fun oddRequest() = userAgents.oddRequest()

    /** Sends one request through a random controller, as the load balancer would. */
    fun request(request: Request, done: (Reply?) -> Unit) = userAgents.request(request, done)

    fun requestAt(node: Int, request: Request, done: (Reply?) -> Unit) = userAgents.requestAt(node, request, done)

    // ---- referee ----

    val breaches: List<String> get() = referee.breaches
    val starts: Int get() = referee.starts
    val completions: Int get() = referee.completions
    val startsOf: Map<JobId, Int> get() = referee.startsOf
    val startsOn: Map<String, Int> get() = referee.startsOn
    var cancellationsKnownImmediately: Boolean by referee::cancellationsKnownImmediately
    var faultFreeSinceMs: Double? by referee::faultFreeSinceMs
    var onJobComplete: (SimUser) -> Unit by referee::onJobComplete
    var fails: (task: TaskId, machine: String) -> Boolean by referee::fails

    fun runningTasks(): Map<TaskId, StandInWorker> = referee.runningTasks

    fun checkAnswered() = referee.checkAnswered()

    fun checkStartDelays() = referee.checkStartDelays()

    fun checkCancelledDependents() = referee.checkCancelledDependents()

    /** Lets simulated time pass, and checks periodically what only time can break. */
    fun run(seconds: Double) {
        var nextCheckMs = 0.0
        sim.run(seconds * 1000) {
            if (sim.nowMs >= nextCheckMs) {
                nextCheckMs = sim.nowMs + CHECK_INTERVAL_MS
                referee.checkCancelled()
                referee.checkWaiting()
                referee.overdue().forEach { user -> repeat(nodes) { poll(user.spec.id, it) } }
            }
        }
    }

    companion object {
        const val LEASE_S = 10.0
        const val CANCEL_S = 30.0

        /** The number of the first of the jobs that were over before the scenario began. */
        const val FIRST_ENDED_JOB = 100_000
        val ZONES = listOf("north", "south")
        val TEAM = TeamName("team")
        private const val CHECK_INTERVAL_MS = 500
        private const val CHECKPOINT_INTERVAL_S = 20.0

        /** The spec of `job-[number]`; an array without limits of placement unless said otherwise. */
        fun job(
            number: Int,
            tasks: Int,
            cpus: Double = 2.0,
            service: Boolean = false,
            oneZone: Boolean = false,
            spread: Boolean = false,
            spot: Boolean = true,
            image: Int = 1,
            team: TeamName = TEAM,
            zone: String? = null,
            etaS: Double = 8.0,
            priority: String = if (service) "urgent" else "normal",
            dueS: Double? = if (service) null else 60.0,
            saveS: Double = 0.0,
        ): JobSpec {
            val text = """{"nameId":"job-$number","load":"${if (service) "web" else "batch"}","crew":"$team",
                "haul":"${if (service) "daemon" else "array"}","urgency":"$priority",
                "boxes":$tasks,"vcpus":$cpus,"gpus":0.0,"memoryGb":1.0,"manifest":"img-$image","pullGb":1.5,"fleets":null,
                "depot":${zone?.let {
                "\"$it\""
            }},"oneZone":$oneZone,"spread":$spread,"borrowed":$spot,"etaS":${if (service) 0.0 else etaS},
                "waypointS":${if (saveS > 0.0) CHECKPOINT_INTERVAL_S else 0.0},"unloadS":$saveS,"dueS":$dueS}"""
            return (JobSpecCodec.parse(Json.read(text.toByteArray())) as ParsedSubmission.Valid).spec
        }
    }
}
