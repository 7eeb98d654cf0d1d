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
 * A whole site in simulated time: the program's own controllers, stand-ins for the state service, the cloud and the workers, and users.
 * A referee checks the protocol's rules whenever a task starts or ends, a command is sent or a user is answered. The site's faults are in
 * `SimSiteFaults.kt`.
 */
class SimSite(
    val sim: Simulation,
    private val operatorSettings: OperatorSettings = OperatorSettings(),
    private val scale: SiteScale = SiteScale(),
    slowMachine: String? = null,
    /** The lease that is configured at the controllers. It differs from that of the workers only in tests of the referee. */
    private val configuredLeaseSeconds: Double = scale.leaseSeconds,
    private val configuredMaxCpus: Double = scale.teamCpus,
    private val configuredCancelSeconds: Double = scale.cancelSeconds,
    /** The number of controllers. */
    val nodes: Int = 3,
    private val otherTeam: Team? = null,
    /** Another staleness limit for the controllers of the first zone, for tests of the referee. */
    private val stalenessLimitOverrideSeconds: Double? = null,
    /** Returns the limits of the state service that are configured at a controller when it starts. */
    private val limitsOf: (node: Int) -> StateLimits = { scale.stateLimits },
    /** The number of jobs that were done before the scenario began. */
    endedBefore: Int = 0,
    /** Whether an error in a decision terminates the controller, as it does a real process; otherwise the test fails. */
    faultsEndProcess: Boolean = false,
    /** By how much a controller's clocks move on at each reading, so that time passes within a decision. */
    millisPerClockReading: Double = 0.0,
    /** Observes every message between the processes and users of this site. */
    wireObserver: WireObserver = WireObserver {},
) {
    val network = SimNetwork(sim, wireObserver)
    private val externalLoop = SimLoop(sim)
    val state = StandInState(externalLoop)
    private val referee = SiteReferee(sim, scale, otherTeam, ::workers)
    internal val machines = SimMachines(sim, network, externalLoop, scale, referee, slowMachine, nodes)
    private val simUsers = SimUsers(sim, network, externalLoop, nodes, referee)
    internal val controllers =
        SimControllers(sim, network, ::settings, ::operatorSettingsOf, faultsEndProcess, millisPerClockReading) { violation ->
            referee.breach("invariant", "${violation.invariant}: ${violation.detail}")
        }

    init {
        network.onCommandsSent = referee::checkCommands
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
        teams = listOfNotNull(Team(TEAM, scale.guaranteedCpus, configuredMaxCpus, 0.0, 0.0), otherTeam).associateBy { it.name },
        objectives = ServiceLevelObjectives(),
        heartbeatIntervalSeconds = scale.heartbeatIntervalSeconds,
        workerLeaseSeconds = configuredLeaseSeconds,
        cancellationDeadlineSeconds = configuredCancelSeconds,
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
        if (stalenessLimitOverrideSeconds != null && node % 2 == 0) {
            OperatorSettings(stalenessLimit = stalenessLimitOverrideSeconds.seconds)
        } else {
            operatorSettings
        }

    internal fun zoneOfController(node: Int) = ZONES[node % 2]

    private fun workers(): Collection<StandInWorker> = machines.workers

    /** Returns the leader according to the records in the state service; null while there is none. */
    fun leader(): Int? = state.leaderAmong((0 until nodes).map(SimAddresses::controllerName))

    /** Returns the controller to which the worker reports. */
    fun ownerOf(workerName: String): Int = machines.worker(workerName).reportsTo

    fun zoneOf(workerName: String): String = machines.worker(workerName).zone

    fun workerNames(): List<String> = machines.workerNames.toList()

    fun workerNamed(name: String): StandInWorker = machines.worker(name)

    fun workerCount() = machines.workers.size

    val machinesLaunched: Int get() = machines.cloud.launchedInAll

    val machinesBooting: Int get() = machines.cloud.booting

    val leasesOrMachinesLost: Long get() = machines.leasesOrMachinesLost

    fun checkpointingTasks(): Map<TaskId, StandInWorker> = machines.checkpointingTasks()

    /** Returns by which factor the boot of the machine with the given number is slower than usual; null if the machine never boots. */
    var bootTimeFactor: (Int) -> Double?
        get() = machines.cloud.bootTimeFactor
        set(factor) {
            machines.cloud.bootTimeFactor = factor
        }

    /** Requests that the cloud refused for exceeding its rate limit. */
    val cloudRefusals: Int get() = machines.cloud.refused

    val users: HashMap<JobId, SimUser> get() = referee.users

    /** Jobs whose cancellation was confirmed to their users. */
    val confirmedCancellations: Int get() = users.values.count { it.cancelledAtMillis != null }

    /** Submits a job with [dependencies], all of which must have been submitted before. [workSeconds] is described at [SimUser]. */
    fun submit(spec: JobSpec, dependencies: List<JobId> = emptyList(), workSeconds: (Int) -> Double?) =
        simUsers.submit(spec, dependencies, workSeconds)

    fun cancel(id: JobId) = simUsers.cancel(id)

    fun repeatSubmission(user: SimUser) = simUsers.repeatSubmission(user)

    /** Sends a poll in addition to the periodic ones, through a random controller. */
    fun poll(id: JobId) = simUsers.poll(id)

    fun poll(id: JobId, node: Int) = simUsers.poll(id, node)

    fun sendOddRequest() = simUsers.sendOddRequest()

    /** Sends a request through a random controller, as the load balancer would. */
    fun request(request: Request, done: (Reply?) -> Unit) = simUsers.request(request, done)

    fun requestAt(node: Int, request: Request, done: (Reply?) -> Unit) = simUsers.requestAt(node, request, done)

    val breaches: List<String> get() = referee.breaches
    val starts: Int get() = referee.starts
    val completions: Int get() = referee.completions
    val startsOf: Map<JobId, Int> get() = referee.startsOf
    val startsOn: Map<String, Int> get() = referee.startsOn
    var cancellationsReplicatedAtOnce: Boolean by referee::cancellationsReplicatedAtOnce
    var faultFreeSinceMillis: Double? by referee::faultFreeSinceMillis
    var onJobComplete: (SimUser) -> Unit by referee::onJobComplete
    var fails: (task: TaskId, machine: String) -> Boolean by referee::fails
    var failsAfterSeconds: Double by referee::failsAfterSeconds
    var onEnded: (task: TaskId, machine: String, done: Boolean) -> Unit by referee::onEnded

    fun runningTasks(): Map<TaskId, StandInWorker> = referee.runningTasks

    fun checkAnswered() = referee.checkAnswered()

    fun checkStartDelays() = referee.checkStartDelays()

    fun checkCancelledDependents() = referee.checkCancelledDependents()

    /** Lets [seconds] of simulated time pass, and periodically checks the rules that set a time limit. */
    fun run(seconds: Double) {
        var nextCheckMillis = 0.0
        sim.run(seconds * 1000) {
            if (sim.nowMillis >= nextCheckMillis) {
                nextCheckMillis = sim.nowMillis + CHECK_INTERVAL_MILLIS
                referee.checkCancelled()
                referee.checkWaiting()
                referee.overdueCancellations().forEach { user -> repeat(nodes) { poll(user.spec.id, it) } }
            }
        }
    }

    companion object {
        const val LEASE_SECONDS = 10.0
        const val CANCEL_SECONDS = 30.0

        /** The number of the first of the jobs that were done before the scenario began. */
        const val FIRST_ENDED_JOB = 100_000
        val ZONES = listOf("north", "south")
        val TEAM = TeamName("team")
        private const val CHECK_INTERVAL_MILLIS = 500
        private const val CHECKPOINT_INTERVAL_SECONDS = 20.0

        /** Returns the spec of `job-[number]`; by default an array without placement constraints. */
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
            estimatedSeconds: Double = 8.0,
            priority: String = if (service) "urgent" else "normal",
            deadlineSeconds: Double? = if (service) null else 60.0,
            checkpointSeconds: Double = 0.0,
            imageGb: Double = 1.5,
        ): JobSpec {
            val text = """{"nameId":"job-$number","load":"${if (service) "web" else "batch"}","crew":"$team",
                "haul":"${if (service) "daemon" else "array"}","urgency":"$priority",
                "boxes":$tasks,"vcpus":$cpus,"gpus":0.0,"memoryGb":1.0,"manifest":"img-$image","pullGb":$imageGb,"fleets":null,
                "depot":${zone?.let {
                "\"$it\""
            }},"oneZone":$oneZone,"spread":$spread,"borrowed":$spot,"etaS":${if (service) 0.0 else estimatedSeconds},
                "waypointS":${if (checkpointSeconds > 0.0) CHECKPOINT_INTERVAL_SECONDS else 0.0},"unloadS":$checkpointSeconds,"dueS":${
                deadlineSeconds
            }}"""
            return (JobSpecCodec.parse(Json.read(text.toByteArray())) as ParsedSubmission.Valid).spec
        }
    }
}
