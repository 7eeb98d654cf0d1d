package copperglade.sim

import copperglade.app.ProcessHeap
import copperglade.controller.Controller
import copperglade.protocol.Endpoint
import copperglade.protocol.JobId
import copperglade.protocol.JobSpec
import copperglade.protocol.JobSpecCodec
import copperglade.protocol.JobStatus
import copperglade.protocol.Json
import copperglade.protocol.MemberId
import copperglade.protocol.ParsedSubmission
import copperglade.protocol.TaskId
import copperglade.protocol.TeamName
import copperglade.protocol.stringOrNull
import copperglade.settings.OperatorSettings
import copperglade.settings.Peer
import copperglade.settings.PlatformSettings
import copperglade.settings.ServiceLevelObjectives
import copperglade.settings.Team
import copperglade.standin.CloudType
import copperglade.standin.StandInCloud
import copperglade.standin.StandInState
import copperglade.standin.StandInWorker
import copperglade.standin.WorkerSite
import copperglade.standin.World
import copperglade.storage.EndRecord
import copperglade.storage.Keys
import copperglade.storage.RecordCodec
import copperglade.storage.StateLimits
import copperglade.transport.FaultBarrier
import copperglade.transport.Method
import copperglade.transport.Reply
import copperglade.transport.Request
import kotlin.time.Duration.Companion.seconds

/** How large a site is, and what its outside allows. */
class SiteScale(
    val machinesPerZone: Int = 4,
    val heartbeatIntervalSeconds: Double = 1.5,
    val leaseSeconds: Double = 10.0,
    val cancelSeconds: Double = 30.0,
    val stateRequestsPerSecond: Double = 200.0,
    val stateWritesPerSecond: Double = 50.0,
    val valueKb: Double = 4.0,
    val transactionWrites: Int = 12,
    val cloudRequestsPerSecond: Double = 6.0,
    val guaranteedCpus: Double = 16.0,
    val teamCpus: Double = 60.0,
) {
    val stateLimits get() = StateLimits(stateRequestsPerSecond, stateWritesPerSecond, valueKb, transactionWrites)
}

/**
 * A whole site in simulated time: three controllers of the real code, stand-ins for the rest, and a referee that
 * checks the protocol's rules whenever something starts, ends or is answered.
 */
class SimSite(
    val sim: Simulation,
    private val operatorSettings: OperatorSettings = OperatorSettings(),
    private val scale: SiteScale = SiteScale(),
    private val slowMachine: String? = null,
    /** The lease that the controllers are told; another than the workers' own only to see the referee at work. */
    private val configuredLeaseS: Double = scale.leaseSeconds,
    private val configuredCpusMax: Double = scale.teamCpus,
    private val configuredCancelS: Double = scale.cancelSeconds,
    val nodes: Int = 3,
    private val otherTeam: Team? = null,
    /** Another limit of staleness for the controllers of the first zone, only to see the referee at work. */
    private val stalenessLimitOverrideS: Double? = null,
    /** The state service's limits as each node is told them when it starts. */
    private val limitsOf: (node: Int) -> StateLimits = { scale.stateLimits },
    /** So many jobs were over before this day began. */
    endedBefore: Int = 0,
    /** Whether controllers take a fault in a decision as a real process does; else the test fails with it. */
    private val faultsEndProcess: Boolean = false,
    /** Told of every message between the processes and users of this site. */
    wireObserver: WireObserver = WireObserver {},
) : World {
    val network = SimNetwork(sim, wireObserver)
    private val worldLoop = SimLoop(sim)
    val state = StandInState(worldLoop)
    private val controllers = HashMap<Int, Pair<Controller, SimLoop>>()
    private val workers = LinkedHashMap<String, StandInWorker>()
    private val cloudMachines = ArrayList<StandInCloud.Machine>()
    private val cloud = StandInCloud(
        worldLoop,
        listOf(CloudType("box", 16.0, 128.0, 6.0, scale.machinesPerZone)),
        ZONES,
        ::boot,
        scale.cloudRequestsPerSecond,
        { workers.remove(it.name)?.die() },
    )

    /** How many times as long as usual the machine of this number takes to come up; null: it never does. */
    var bootTimeFactor: (Int) -> Double?
        get() = cloud.bootTimeFactor
        set(factor) {
            cloud.bootTimeFactor = factor
        }

    /** Requests that the cloud refused for coming too fast. */
    val cloudRefusals: Int get() = cloud.refused
    val breaches = ArrayList<String>()
    val users = HashMap<JobId, User>()
    private val pipelines = PipelineReferee(users, { sim.nowMs }, scale.cancelSeconds * 1000, ::breach)
    private val runningOn = HashMap<TaskId, StandInWorker>()

    /** By job, where its tasks on machines are; by team, what they use. */
    private val tasksOf = HashMap<JobId, HashMap<TaskId, String>>()
    private val usedCpus = HashMap<TeamName, Double>()
    var starts = 0
        private set
    var completions = 0
        private set

    /** Jobs whose users were told that they are cancelled. */
    val confirmedCancellations: Int get() = users.values.count { it.cancelledAtMs != null }

    /** Nothing stands between the controllers, so that each knows of a cancellation before its user does. */
    var cancellationsKnownImmediately = false

    /** What a user has been told and does. */
    inner class User(val spec: JobSpec, val dependencies: List<JobId>, val work: (Int) -> Double?) {
        /** When the user was told that the job is accepted, and with which HTTP status. */
        var acceptedAtMs: Double? = null
        var acceptedStatus = 0
        val accepted get() = acceptedAtMs != null
        var status = "unknown"
        var cancelRequestedAtMs: Double? = null
        var cancelledAtMs: Double? = null
        var lastAnswerAtMs = 0.0
        val doneTasks = HashSet<Int>()
        val finished get() = status == "done" || status == "aborted"

        /** When the last of its tasks ended. */
        var completedAtMs: Double? = null
        val requestedAtMs = sim.nowMs
        var firstStartAtMs: Double? = null

        /** When the answer came that was final; until one has come, the latest. */
        var finishedAtMs = 0.0

        /** Since when some of it has waited without a start, though there was room within its team's limit. */
        var waitingSinceMs: Double? = null
    }

    init {
        network.commandsSent = ::checkCommands
        network.listen(STATE, "state", worldLoop, state)
        network.listen(CLOUD, "cloud", worldLoop, cloud)
        repeat(endedBefore) {
            state.put(Keys.ended(JobId("job-${FIRST_ENDED_JOB + it}")), RecordCodec.encode(EndRecord(JobStatus.DONE, 1)))
        }
        repeat(nodes) { startController(it) }
    }

    // ---- processes ----

    private fun name(node: Int) = "lorry-$node"

    private fun client(node: Int) = Endpoint("10.0.0.${node + 1}", 8080)

    private fun cluster(node: Int) = Endpoint("10.0.0.${node + 1}", 8081)

    private fun settings(node: Int) = PlatformSettings(
        member = MemberId(name(node)),
        zone = ZONES[node % 2],
        clientListen = client(node),
        clusterListen = cluster(node),
        peers = (0 until nodes).filter { it != node }.map { Peer(MemberId(name(it)), ZONES[it % 2], cluster(it)) },
        cloud = CLOUD,
        state = STATE,
        zones = ZONES,
        teams = listOfNotNull(Team(TEAM, scale.guaranteedCpus, configuredCpusMax, 0.0, 0.0), otherTeam).associateBy { it.name },
        objectives = ServiceLevelObjectives(),
        heartbeatIntervalSeconds = scale.heartbeatIntervalSeconds,
        leaseSeconds = configuredLeaseS,
        cancelSeconds = configuredCancelS,
        stateRequestsPerSecond = limitsOf(node).requestsPerSecond,
        stateWritesPerSecond = limitsOf(node).writesPerSecond,
        valueKb = limitsOf(node).valueKb,
        transactionWrites = limitsOf(node).transactionWrites,
        cloudRequestsPerSecond = scale.cloudRequestsPerSecond,
        listLagSeconds = 0.5,
        fileDescriptorLimit = 3000,
    )

    fun startController(node: Int) {
        if (controllers[node]?.second?.alive == true) return
        val loop = SimLoop(sim, drift = node * CLOCK_DRIFT_PER_NODE)
        if (faultsEndProcess) loop.guard = FaultBarrier { crash(node) }::run
        val memberSettings =
            if (stalenessLimitOverrideS != null && node % 2 == 0) {
                OperatorSettings(stalenessLimit = stalenessLimitOverrideS.seconds)
            } else {
                operatorSettings
            }
        val caller = network.callerOf(name(node), loop)
        val controller = Controller(loop, caller, settings(node), memberSettings, ProcessHeap.maxBytes) { violation ->
            breach("invariant", "${violation.invariant}: ${violation.detail}")
        }
        controllers[node] = controller to loop
        network.listen(client(node), name(node), loop, controller.clientHandler)
        network.listen(cluster(node), name(node), loop, controller.clusterHandler)
        controller.start()
    }

    /** One of the next decisions of this controller ends in a fault, after so many readings of its clock. */
    fun injectFault(node: Int, afterReadings: Int) {
        controllers.getValue(node).second.faultIn = afterReadings
    }

    /** The next decision of this controller that reads the time of day ends in a fault: so does each that releases a waiting job. */
    fun injectFaultAtRelease(node: Int) {
        controllers.getValue(node).second.faultAtWallClock = true
    }

    fun crash(node: Int, backAfterMs: Double = 3000.0) {
        controllers[node]?.second?.alive = false
        sim.after(backAfterMs) { startController(node) }
    }

    /** Cuts a controller off from everybody, or only from the state service or the workers. */
    fun cutController(node: Int, from: String = "all") {
        if (from != "workers") network.cut(name(node), "state")
        if (from == "all") {
            network.cut(name(node), "cloud")
            (0 until nodes).filter { it != node }.forEach { network.cut(name(node), name(it)) }
        }
        if (from != "state") workers.keys.forEach { network.cut(name(node), it) }
    }

    fun cutMachine(index: Int) {
        val worker = workers.keys.elementAtOrNull(index) ?: return
        (0 until nodes).forEach { network.cut(name(it), worker) }
    }

    /** Lets a controller's steady clock go [rate] times as fast, far beyond the protocol's bound. */
    fun slowClock(node: Int, rate: Double) = controllers.getValue(node).second.slowDown(rate)

    /** What the controllers say no longer reaches the machine; what it says still reaches them. */
    fun cutTrafficToMachine(index: Int): String? {
        val worker = workers.keys.elementAtOrNull(index) ?: return null
        (0 until nodes).forEach { network.cutOneWay(name(it), worker) }
        return worker
    }

    /** The state service refuses this controller alone. */
    fun refuseController(node: Int) = network.refuse(name(node))

    fun serveController(node: Int) = network.serveAgain(name(node))

    /** Who leads, by the state service's own records; null while nobody does. */
    fun leader(): Int? = state.text(Keys.LEADER)?.let { leader -> (0 until nodes).firstOrNull { "\"${name(it)}\"" in leader } }

    /** Machines whose reports arrive, while answers and direct commands to them are lost. */
    fun loseCommandsTo(workers: Collection<String>) {
        network.loses = { it.to in workers && (if (it.answer) it.path == "/checkin" else it.path == "/do") }
    }

    /** Machines that reach no controller, while direct commands reach them, and their answers come back. */
    fun loseRequestsFrom(workers: Collection<String>) {
        network.loses = { it.from in workers && !it.answer }
    }

    /** Nothing is lost any more. */
    fun loseNothing() {
        network.loses = { false }
    }

    /** Loses the state service and the other controllers, but not its workers. */
    fun isolateController(node: Int) {
        network.cut(name(node), "state")
        network.cut(name(node), "cloud")
        (0 until nodes).filter { it != node }.forEach { network.cut(name(node), name(it)) }
    }

    /** The controller stands still while its clock runs on. */
    fun freezeController(node: Int, ms: Double) = controllers.getValue(node).second.freeze(ms)

    /** Cuts a zone's controllers and machines off from everything outside it. */
    fun cutZone(zone: String) {
        val controllersIn = (0 until nodes).filter { ZONES[it % 2] == zone }.map(::name)
        val machinesIn = workers.values.filter { it.zone == zone }.map { it.name }
        val outside = (0 until nodes).map(::name) - controllersIn.toSet() + (workers.keys - machinesIn.toSet())
        for (inside in controllersIn + machinesIn) {
            (outside + listOf("state", "cloud", "users")).forEach { network.cut(inside, it) }
        }
    }

    /** Controllers refuse each other's connections, all else goes on. */
    fun cutPeers() {
        for (one in 0 until nodes) for (other in 0 until one) network.cut(name(one), name(other))
    }

    /** Cuts between one machine and all controllers but [node]. */
    fun cutMachineFromOthers(index: Int, node: Int) {
        val worker = workers.keys.elementAtOrNull(index) ?: return
        (0 until nodes).filter { it != node }.forEach { network.cut(name(it), worker) }
    }

    /** The machine loses power and is back at once; its worker counts from the start again. */
    fun rebootMachine(index: Int) {
        val name = workers.keys.elementAtOrNull(index) ?: return
        val machine = cloudMachines.first { it.name == name }
        workers.remove(name)?.die()
        sim.after(100.0 + sim.random.nextInt(600)) { if (!machine.gone) boot(machine) }
    }

    fun ownerOf(workerName: String): Int = workers.getValue(workerName).reportsTo

    fun zoneOf(workerName: String): String = workers.getValue(workerName).zone

    fun workerNames(): List<String> = workers.keys.toList()

    val machinesLaunched: Int get() = cloud.launchedInAll

    fun heal() = network.heal()

    fun killMachine(index: Int) {
        cloudMachines.filter { !it.gone && it.up }.getOrNull(index)?.let(cloud::take)
    }

    fun hang(index: Int): StandInWorker? = workers.values.elementAtOrNull(index)?.also { it.hanging = true }

    fun workerCount() = workers.size

    /** Sessions that workers have begun because a lease of theirs ran out, and machines that are gone. */
    val leasesOrMachinesLost: Long get() = workers.values.sumOf { it.epoch - 1 } + cloudMachines.count { it.gone }

    /** Tasks that save, and the machines that they are on. */
    fun savingTasks(): Map<TaskId, StandInWorker> =
        workers.values.flatMap { worker -> worker.saving().map { it to worker } }.toMap()

    fun killWorker(name: String) {
        cloudMachines.firstOrNull { it.name == name && !it.gone }?.let(cloud::take)
    }

    /** What these machines report is held back until the cuts are healed; all else goes on. */
    fun holdHeartbeats(workers: Collection<String>) =
        workers.forEach { worker -> (0 until nodes).forEach { network.cutOneWay(worker, name(it)) } }

    private fun boot(machine: StandInCloud.Machine) {
        if (machine !in cloudMachines) cloudMachines += machine
        val endpoint = Endpoint(machine.address.substringBefore(':'), 9000)
        val loop = SimLoop(sim, drift = sim.random.nextDouble() * 0.0005)
        val speed = if (machine.name == slowMachine) SLOW_MACHINE_SPEED else 1.0
        val site = WorkerSite(scale.heartbeatIntervalSeconds, scale.leaseSeconds, (0 until nodes).map { MemberId(name(it)) to client(it) })
        val worker = StandInWorker(
            loop,
            network.callerOf(machine.name, loop),
            this,
            site,
            machine.name,
            endpoint,
            machine.type.name,
            machine.zone,
            machine.spot,
            machine.type.cpus,
            fetchGbPerSecond = 1.0,
            speed = speed,
        )
        workers[machine.name] = worker
        network.listen(endpoint, machine.name, loop, worker)
        worker.start()
    }

    // ---- the world of the workers, and the referee ----

    override fun spec(task: TaskId) = users[task.job]?.spec?.takeIf { task.index < it.tasks }

    override fun workS(task: TaskId) = users[task.job]?.work?.invoke(task.index)

    /** Whether a task fails on a machine, some time after it has begun to run there. */
    var fails: (task: TaskId, machine: String) -> Boolean = { _, _ -> false }

    /** How often a task of the job has begun to run, and how often any task has on the machine. */
    val startsOf = HashMap<JobId, Int>()
    val startsOn = HashMap<String, Int>()

    override fun failsAfterS(worker: StandInWorker, task: TaskId): Double? = FAILS_AFTER_S.takeIf { fails(task, worker.name) }

    override fun started(worker: StandInWorker, task: TaskId) {
        starts++
        startsOf.merge(task.job, 1, Int::plus)
        startsOn.merge(worker.name, 1, Int::plus)
        val before = runningOn[task]
        if (before != null && before !== worker) breach("ran_twice", "$task on ${worker.name} and ${before.name}")
        runningOn[task] = worker
        val user = users.getValue(task.job)
        if (!user.spec.allows(worker.type, worker.zone, worker.spot)) breach("wrong_place", "$task on ${worker.name}")
        user.waitingSinceMs = null
        pipelines.checkStart(user, task)
        if (user.firstStartAtMs == null) user.firstStartAtMs = sim.nowMs
        val zones = tasksOf.getOrPut(task.job) { HashMap() }.also { it[task] = worker.zone }.values
        if (user.spec.oneZone && zones.distinct().size > 1) breach("wrong_place", "$task not in one zone")
        if (zones.count { it == worker.zone } > user.spec.perZoneLimit) breach("wrong_place", "$task not spread")
        if (before == null) usedCpus.merge(user.spec.team, user.spec.request.cpus, Double::plus)
        val used = usedCpus.getValue(user.spec.team)
        val limit = otherTeam?.takeIf { it.name == user.spec.team }?.cpusMax ?: scale.teamCpus
        if (used > limit + 1e-6) breach("quota", "$used CPUs with $task")
        checkCancelled(task)
    }

    override fun ended(worker: StandInWorker, task: TaskId, done: Boolean) {
        if (runningOn[task] === worker) {
            runningOn.remove(task)
            val spec = users.getValue(task.job).spec
            tasksOf.getValue(task.job).remove(task)
            usedCpus.merge(spec.team, -spec.request.cpus, Double::plus)
        }
        if (done) {
            completions++
            val user = users.getValue(task.job)
            user.doneTasks += task.index
            if (user.doneTasks.size == user.spec.tasks) {
                if (user.completedAtMs == null) user.completedAtMs = sim.nowMs
                onJobComplete(user)
            }
        }
    }

    /** What users do at the moment at which the last task of a job ends. */
    var onJobComplete: (User) -> Unit = {}

    private fun checkCancelled() {
        runningOn.keys.forEach(::checkCancelled)
    }

    private fun checkCancelled(task: TaskId) {
        val cancelledAtMs = pipelines.cancelledAtMs(users.getValue(task.job)) ?: return
        if (sim.nowMs - cancelledAtMs > scale.cancelSeconds * 1000) breach("ran_cancelled", "$task")
    }

    /** A start sent after its job's cancellation was confirmed, by somebody who must have known or had stopped knowing anything. */
    private fun checkCommands(body: ByteArray) {
        val node = Json.read(body) ?: return
        for (command in node.get("dispatches") ?: return) {
            if (command.stringOrNull("order") != "start") continue
            val task = TaskId.parse(command.stringOrNull("box")!!)!!
            val cancelledAtMs = users[task.job]?.let(pipelines::cancelledAtMs) ?: continue
            val sinceMs = sim.nowMs - cancelledAtMs
            if (cancellationsKnownImmediately || sinceMs > MAX_START_AFTER_CANCELLATION_S * 1000) breach("started_cancelled", "$task")
        }
    }

    /** From when on nothing may be left waiting; null while there are troubles. */
    var faultFreeSinceMs: Double? = null

    /** No job waits for 90 s, with no start, while a machine that fits has room and its team is under its limit. */
    private fun checkWaiting() {
        val calm = faultFreeSinceMs ?: return
        for (user in users.values) {
            val blocked = pipelines.releasedAtMs(user) == null || pipelines.dependencyCancelRequested(user)
            if (!user.accepted || user.finished || user.cancelRequestedAtMs != null || blocked || !couldStart(user)) {
                user.waitingSinceMs = null
                continue
            }
            val since = user.waitingSinceMs ?: sim.nowMs.also { user.waitingSinceMs = it }
            if (sim.nowMs - maxOf(since, calm) > MAX_WAIT_WITH_CAPACITY_S * 1000) {
                breach("left_waiting", "${user.spec.id}")
                user.waitingSinceMs = null
            }
        }
    }

    private fun couldStart(user: User): Boolean {
        val spec = user.spec
        val standing = tasksOf[spec.id].orEmpty()
        if (user.doneTasks.size + standing.size >= spec.tasks) return false
        val limit = otherTeam?.takeIf { it.name == spec.team }?.cpusMax ?: scale.teamCpus
        if ((usedCpus[spec.team] ?: 0.0) + spec.request.cpus > limit + 1e-6) return false
        return workers.values.any { worker ->
            val zones = standing.values
            worker.alive && !worker.hanging && worker.freeCpus() >= spec.request.cpus &&
                spec.allows(worker.type, worker.zone, worker.spot) && (!spec.oneZone || zones.all { it == worker.zone }) &&
                zones.count { it == worker.zone } < spec.perZoneLimit
        }
    }

    /** Half of each class, team and class's largest jobs has begun within four minutes of their release. */
    fun checkStartDelays() {
        val counted = users.values.filter {
            it.accepted && it.cancelRequestedAtMs == null && pipelines.releasedAtMs(it) != null && !pipelines.dependencyCancelRequested(it)
        }
        val groups = counted.groupBy { "class ${it.spec.load}" } + counted.groupBy { "team ${it.spec.team}" } +
            counted.groupBy { it.spec.load }.map { (load, members) ->
                val largest = (members.size + LARGEST_JOBS_ONE_IN - 1) / LARGEST_JOBS_ONE_IN
                "largest of $load" to members.sortedByDescending { it.spec.tasks }.take(largest)
            }
        for ((group, members) in groups) {
            val served = members.count { user ->
                user.firstStartAtMs?.let { it - pipelines.releasedAtMs(user)!! <= MAX_START_DELAY_S * 1000 } ?: false
            }
            if (served * 2 < members.size) breach("unserved", "$served of ${members.size} of $group")
        }
    }

    /** To be called when all troubles have been over for 75 s: each job by itself must have had an answer since. */
    fun checkAnswered() {
        for (user in users.values) {
            if (!user.accepted || user.status == "aborted") continue
            if (sim.nowMs - user.lastAnswerAtMs > MAX_UNANSWERED_S * 1000) breach("forgotten", "${user.spec.id} gets no answer")
        }
    }

    /** To be called when all troubles have been over for longer than a cancellation may take. */
    fun checkCancelledDependents() = pipelines.checkEnd()

    private fun breach(rule: String, what: String) {
        breaches += "$rule at ${"%.1f".format(sim.nowMs / 1000)}: $what"
    }

    // ---- users ----

    /** A repeat of the submission of a job, whose answer is looked at like a poll. */
    fun repeat(user: User) {
        val requestedAtMs = sim.nowMs
        request(Request(Method.POST, "/submissions", submissionBody(user.spec, user.dependencies))) { reply ->
            if (reply?.status in REFUSAL_STATUSES) breach("forgotten", "repeat of ${user.spec.id}: ${reply?.status}")
            if (reply?.status == 201) breach("forgotten", "${user.spec.id} accepted once more")
            if (reply?.status == 200) learn(user, Json.read(reply.body)!!.stringOrNull("status")!!, requestedAtMs)
        }
    }

    /** Submits a job that waits for [dependencies], which have been submitted before; it is sent once they are known to be accepted. */
    fun submit(spec: JobSpec, dependencies: List<JobId> = emptyList(), work: (Int) -> Double?) {
        val user = User(spec, dependencies, work)
        users[spec.id] = user
        ask(user)
    }

    private fun ask(user: User) {
        if (user.accepted) return
        if (user.dependencies.any { users[it]?.accepted == false }) return later(1.0) { ask(user) }
        request(Request(Method.POST, "/submissions", submissionBody(user.spec, user.dependencies))) { reply ->
            when (reply?.status) {
                200, 201 -> {
                    user.acceptedAtMs = sim.nowMs
                    user.acceptedStatus = reply.status
                    user.lastAnswerAtMs = sim.nowMs
                    later(5.0) { poll(user) }
                }
                // Refused as what it is not; a known job is answered with its state whatever else.
                400, 422 -> breach("forgotten", "${user.spec.id} refused with ${reply.status}")
                else -> later(1.0) { ask(user) }
            }
        }
    }

    /** A question beside the usual ones. */
    fun poll(id: JobId, node: Int = anyNode()) {
        val user = users.getValue(id)
        val requestedAtMs = sim.nowMs
        requestAt(node, Request(Method.GET, "/submissions/$id")) { reply ->
            if (reply?.status == 404) breach("forgotten", "$id is unknown")
            if (reply?.status == 200) learn(user, Json.read(reply.body)!!.stringOrNull("status")!!, requestedAtMs)
        }
    }

    private fun poll(user: User) {
        val requestedAtMs = sim.nowMs
        request(Request(Method.GET, "/submissions/${user.spec.id}")) { reply ->
            if (reply?.status == 404) breach("forgotten", "${user.spec.id} is unknown")
            if (reply?.status == 200) {
                user.lastAnswerAtMs = sim.nowMs
                learn(user, Json.read(reply.body)!!.stringOrNull("status")!!, requestedAtMs)
            }
            // Also what is long done is asked for to the end.
            later(if (user.finished) 15.0 else 5.0) { poll(user) }
        }
    }

    /** A question that was asked before the final answer came may still be answered as things were then: two at a time. */
    private fun learn(user: User, status: String, requestedAtMs: Double) {
        val final = status == "done" || status == "aborted"
        if (user.finished && !final && requestedAtMs < user.finishedAtMs) return
        if (user.finished && status != user.status) breach("went_back", "${user.spec.id}: ${user.status}, then $status")
        if (!user.finished) user.finishedAtMs = sim.nowMs
        if (status == "done" && user.doneTasks.size < user.spec.tasks) breach("not_done", "${user.spec.id}")
        if (status == "aborted" && user.cancelledAtMs == null) user.cancelledAtMs = sim.nowMs
        user.status = status
        pipelines.checkAnswer(user)
    }

    fun cancel(id: JobId) {
        val user = users[id] ?: return
        if (!user.accepted || user.finished) return
        if (user.cancelRequestedAtMs == null) user.cancelRequestedAtMs = sim.nowMs
        val requestedAtMs = sim.nowMs
        request(Request(Method.POST, "/submissions/$id/cancel")) { reply ->
            if (reply?.status ==
                200
            ) {
                learn(user, Json.read(reply.body)!!.stringOrNull("status")!!, requestedAtMs)
            } else {
                later(1.0) { cancel(id) }
            }
        }
    }

    /** Users repeat submissions, cancel what is done, ask for what nobody sent, and send what can't run or lacks a field. */
    fun oddRequest() {
        val known = users.values.filter { it.accepted }
        val number = FIRST_ODD_JOB + sim.random.nextInt(10_000)
        when (sim.random.nextInt(5)) {
            0 -> known.filter { !it.finished }.pickRandom()?.let(::repeat)
            1 -> known.filter { it.status == "done" }.pickRandom()?.let { user ->
                val requestedAtMs = sim.nowMs
                request(Request(Method.POST, "/submissions/${user.spec.id}/cancel")) { reply ->
                    if (reply?.status == 404) breach("forgotten", "cancel of ${user.spec.id}")
                    if (reply?.status == 200) learn(user, Json.read(reply.body)!!.stringOrNull("status")!!, requestedAtMs)
                }
            }
            2 -> request(Request(Method.GET, "/submissions/job-$number")) { if (it?.status == 200) breach("invented", "job-$number") }
            3 -> sendBad(number) { it.replace("\"vcpus\":2.0", "\"vcpus\":2000.0") }
            else -> sendBad(number) { it.replace("\"manifest\":\"img-1\",", "") }
        }
    }

    private fun sendBad(number: Int, spoil: (String) -> String) {
        val good = Json.write { JobSpecCodec.write(this, job(number, tasks = 1)) }.decodeToString()
        val bad = spoil(good)
        check(bad != good)
        request(Request(Method.POST, "/submissions", bad.encodeToByteArray())) { reply ->
            if (reply?.status == 200 || reply?.status == 201) breach("accepted_bad", "job-$number")
        }
    }

    private fun <T> List<T>.pickRandom(): T? = if (isEmpty()) null else this[sim.random.nextInt(size)]

    /** One request through a random controller, as the load balancer would send it. */
    fun request(request: Request, done: (Reply?) -> Unit) = requestAt(anyNode(), request, done)

    private fun anyNode() = sim.random.nextInt(nodes)

    fun requestAt(node: Int, request: Request, done: (Reply?) -> Unit) {
        network.callerOf("users", worldLoop).call(client(node), request, 5.seconds, done)
    }

    private fun later(seconds: Double, action: () -> Unit) = sim.after(seconds * 1000, action)

    fun run(seconds: Double) {
        var next = 0.0
        sim.run(seconds * 1000) {
            if (sim.nowMs >= next) {
                next = sim.nowMs + 500
                checkCancelled()
                checkWaiting()
                pipelines.overdue().forEach { user -> repeat(nodes) { poll(user.spec.id, it) } }
            }
        }
    }

    fun runningTasks(): Map<TaskId, StandInWorker> = runningOn

    companion object {
        const val HEARTBEAT_S = 1.5
        const val LEASE_S = 10.0
        const val CANCEL_S = 30.0
        const val SLOW_MACHINE_SPEED = 0.25
        const val CLOCK_DRIFT_PER_NODE = 0.0001
        const val MAX_UNANSWERED_S = 75.0
        const val FIRST_ENDED_JOB = 100_000
        const val FIRST_ODD_JOB = 700_000
        val REFUSAL_STATUSES = listOf(400, 404, 422)
        const val MAX_WAIT_WITH_CAPACITY_S = 90.0
        const val MAX_START_DELAY_S = 240.0
        const val LARGEST_JOBS_ONE_IN = 5
        const val CHECKPOINT_S = 20.0
        const val FAILS_AFTER_S = 1.0

        /** Who neither reads the state service nor hears the others stops starting tasks this soon, and a little for the clocks. */
        const val MAX_START_AFTER_CANCELLATION_S = 3.2
        val ZONES = listOf("north", "south")
        val TEAM = TeamName("team")
        private val STATE = Endpoint("10.2.0.1", 2379)
        private val CLOUD = Endpoint("10.2.0.2", 8443)

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
                "waypointS":${if (saveS > 0.0) CHECKPOINT_S else 0.0},"unloadS":$saveS,"dueS":$dueS}"""
            return (JobSpecCodec.parse(Json.read(text.toByteArray())) as ParsedSubmission.Valid).spec
        }
    }
}
