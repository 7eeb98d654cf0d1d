package copperglade.sim

import copperglade.protocol.JobId
import copperglade.protocol.Json
import copperglade.protocol.TaskId
import copperglade.protocol.TeamName
import copperglade.protocol.stringOrNull
import copperglade.settings.Team
import copperglade.standin.StandInWorker
import copperglade.standin.World

/**
 * The referee of a simulated site: it sees what starts and ends on machines and what users are answered, and records each broken rule of
 * the protocol in [breaches].
 *
 * @param workers the workers of the machines that are up.
 */
class SiteReferee(
    private val sim: Simulation,
    private val scale: SiteScale,
    private val otherTeam: Team?,
    private val workers: () -> Collection<StandInWorker>,
) : World {
    /** Every broken rule: its name, the time in seconds, and what was seen. */
    val breaches = ArrayList<String>()
    val users = HashMap<JobId, SimUser>()
    private val pipelines = PipelineReferee(users, { sim.nowMs }, scale.cancelSeconds * 1000, ::breach)
    private val runningOn = HashMap<TaskId, StandInWorker>()

    /** The zones of each job's running tasks, and the CPUs that each team's use. */
    private val zonesOf = HashMap<JobId, HashMap<TaskId, String>>()
    private val usedCpus = HashMap<TeamName, Double>()

    /** How often any task has started, and how often any has been done. */
    var starts = 0
        private set
    var completions = 0
        private set

    /** How often a task of the job has started, and how often any task has on the machine. */
    val startsOf = HashMap<JobId, Int>()
    val startsOn = HashMap<String, Int>()

    val runningTasks: Map<TaskId, StandInWorker> get() = runningOn

    /** Whether all controllers reach each other, so that each knows of a cancellation before its user does. */
    var cancellationsKnownImmediately = false

    /** Since when there have been no faults, so that nothing may be left waiting; null while there are some. */
    var faultFreeSinceMs: Double? = null

    /** What users do when the last task of a job ends. */
    var onJobComplete: (SimUser) -> Unit = {}

    /** Whether a task fails on a machine some time after it has started there. */
    var fails: (task: TaskId, machine: String) -> Boolean = { _, _ -> false }

    fun breach(rule: String, what: String) {
        breaches += "$rule at ${"%.1f".format(sim.nowMs / 1000)}: $what"
    }

    // ---- tasks on machines ----

    override fun spec(task: TaskId) = users[task.job]?.spec?.takeIf { task.index < it.tasks }

    override fun workS(task: TaskId) = users[task.job]?.work?.invoke(task.index)

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
        checkZones(user, task, worker)
        if (before == null) usedCpus.merge(user.spec.team, user.spec.request.cpus, Double::plus)
        val used = usedCpus.getValue(user.spec.team)
        if (used > limitOf(user.spec.team) + CPU_TOLERANCE) breach("quota", "$used CPUs with $task")
        checkCancelled(task)
    }

    private fun checkZones(user: SimUser, task: TaskId, worker: StandInWorker) {
        val zones = zonesOf.getOrPut(task.job) { HashMap() }.also { it[task] = worker.zone }.values
        if (user.spec.oneZone && zones.distinct().size > 1) breach("wrong_place", "$task not in one zone")
        if (zones.count { it == worker.zone } > user.spec.maxTasksPerZone) breach("wrong_place", "$task not spread")
    }

    private fun limitOf(team: TeamName): Double = otherTeam?.takeIf { it.name == team }?.maxCpus ?: scale.teamCpus

    override fun ended(worker: StandInWorker, task: TaskId, done: Boolean) {
        if (runningOn[task] === worker) {
            runningOn.remove(task)
            val spec = users.getValue(task.job).spec
            zonesOf.getValue(task.job).remove(task)
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

    // ---- cancellations ----

    /** To be called periodically: no task may run for longer than the cancellation timeout after its job was cancelled. */
    fun checkCancelled() {
        runningOn.keys.forEach(::checkCancelled)
    }

    private fun checkCancelled(task: TaskId) {
        val cancelledAtMs = pipelines.cancelledAtMs(users.getValue(task.job)) ?: return
        if (sim.nowMs - cancelledAtMs > scale.cancelSeconds * 1000) breach("ran_cancelled", "$task")
    }

    /** To be called for each command sent: no start may follow the confirmed cancellation, once the sender must know or step down. */
    fun checkCommands(body: ByteArray) {
        val node = Json.read(body) ?: return
        for (command in node.get("dispatches") ?: return) {
            if (command.stringOrNull("order") != "start") continue
            val task = TaskId.parse(command.stringOrNull("box")!!)!!
            val cancelledAtMs = users[task.job]?.let(pipelines::cancelledAtMs) ?: continue
            val sinceMs = sim.nowMs - cancelledAtMs
            if (cancellationsKnownImmediately || sinceMs > MAX_START_AFTER_CANCELLATION_S * 1000) breach("started_cancelled", "$task")
        }
    }

    /** Users to ask at every controller now, since their jobs must be reported cancelled from here on. */
    fun overdue(): List<SimUser> = pipelines.overdue()

    /** To be called when there have been no faults for longer than a cancellation may take. */
    fun checkCancelledDependents() = pipelines.checkEnd()

    // ---- answers to users ----

    /**
     * Checks and records [status], which the user got in answer to a request sent at [requestedAtMs]. Of two requests in flight, the one
     * sent before the final answer may still be answered with an earlier status.
     */
    fun recordStatus(user: SimUser, status: String, requestedAtMs: Double) {
        val final = status == "done" || status == "aborted"
        if (user.finished && !final && requestedAtMs < user.finishedAtMs) return
        if (user.finished && status != user.status) breach("went_back", "${user.spec.id}: ${user.status}, then $status")
        if (!user.finished) user.finishedAtMs = sim.nowMs
        if (status == "done" && user.doneTasks.size < user.spec.tasks) breach("not_done", "${user.spec.id}")
        if (status == "aborted" && user.cancelledAtMs == null) user.cancelledAtMs = sim.nowMs
        user.status = status
        pipelines.checkAnswer(user)
    }

    /** To be called when there have been no faults for [MAX_UNANSWERED_S]: each job must have had an answer since. */
    fun checkAnswered() {
        for (user in users.values) {
            if (!user.accepted || user.status == "aborted") continue
            if (sim.nowMs - user.lastAnswerAtMs > MAX_UNANSWERED_S * 1000) breach("forgotten", "${user.spec.id} gets no answer")
        }
    }

    // ---- waiting jobs ----

    /** To be called periodically: no job may wait for [MAX_WAIT_WITH_CAPACITY_S] while it could start. */
    fun checkWaiting() {
        val faultFreeSinceMs = faultFreeSinceMs ?: return
        for (user in users.values) {
            val blocked = pipelines.releasedAtMs(user) == null || pipelines.dependencyCancelRequested(user)
            if (!user.accepted || user.finished || user.cancelRequestedAtMs != null || blocked || !couldStart(user)) {
                user.waitingSinceMs = null
                continue
            }
            val since = user.waitingSinceMs ?: sim.nowMs.also { user.waitingSinceMs = it }
            if (sim.nowMs - maxOf(since, faultFreeSinceMs) > MAX_WAIT_WITH_CAPACITY_S * 1000) {
                breach("left_waiting", "${user.spec.id}")
                user.waitingSinceMs = null
            }
        }
    }

    /** Whether a machine that the job may use has capacity for one more of its tasks, within the team's limit. */
    private fun couldStart(user: SimUser): Boolean {
        val spec = user.spec
        val running = zonesOf[spec.id].orEmpty()
        if (user.doneTasks.size + running.size >= spec.tasks) return false
        if ((usedCpus[spec.team] ?: 0.0) + spec.request.cpus > limitOf(spec.team) + CPU_TOLERANCE) return false
        return workers().any { worker ->
            val zones = running.values
            worker.alive && !worker.hanging && worker.freeCpus() >= spec.request.cpus &&
                spec.allows(worker.type, worker.zone, worker.spot) && (!spec.oneZone || zones.all { it == worker.zone }) &&
                zones.count { it == worker.zone } < spec.maxTasksPerZone
        }
    }

    /** Of each class, each team and each class's largest jobs, half must have started within [MAX_START_DELAY_S] of their release. */
    fun checkStartDelays() {
        val counted = users.values.filter {
            it.accepted && it.cancelRequestedAtMs == null && pipelines.releasedAtMs(it) != null && !pipelines.dependencyCancelRequested(it)
        }
        val groups = counted.groupBy { "class ${it.spec.workloadClass}" } + counted.groupBy { "team ${it.spec.team}" } +
            counted.groupBy { it.spec.workloadClass }.map { (load, members) ->
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

    private companion object {
        const val FAILS_AFTER_S = 1.0
        const val CPU_TOLERANCE = 1e-6
        const val MAX_UNANSWERED_S = 75.0
        const val MAX_WAIT_WITH_CAPACITY_S = 90.0
        const val MAX_START_DELAY_S = 240.0
        const val LARGEST_JOBS_ONE_IN = 5

        /** A controller that neither reads the state service nor hears its peers stops starting tasks this soon; clock drift included. */
        const val MAX_START_AFTER_CANCELLATION_S = 3.2
    }
}
