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
 * Checks the protocol's rules at a simulated site. The referee observes the starts and ends of tasks on machines, the commands of
 * controllers and the answers to users, and records each broken rule in [breaches].
 *
 * @param workers the workers of the machines that are up.
 */
class SiteReferee(
    private val sim: Simulation,
    private val scale: SiteScale,
    private val otherTeam: Team?,
    private val workers: () -> Collection<StandInWorker>,
) : World {
    /** Every broken rule: its name, the time in seconds, and the observation. */
    val breaches = ArrayList<String>()
    val users = HashMap<JobId, SimUser>()
    private val pipelineReferee = PipelineReferee(users, { sim.nowMillis }, scale.cancelSeconds * 1000, ::breach)
    private val workerByTask = HashMap<TaskId, StandInWorker>()

    /** The zones of each job's running tasks. */
    private val zonesOfTasks = HashMap<JobId, HashMap<TaskId, String>>()

    /** The CPUs that the running tasks of each team use. */
    private val usedCpus = HashMap<TeamName, Double>()

    /** The number of starts of tasks. */
    var starts = 0
        private set

    /** The number of tasks that were done; a task that was done twice counts twice. */
    var completions = 0
        private set

    /** The number of starts of tasks of each job. */
    val startsOf = HashMap<JobId, Int>()

    /** The number of starts of tasks on each machine. */
    val startsOn = HashMap<String, Int>()

    val runningTasks: Map<TaskId, StandInWorker> get() = workerByTask

    /** Whether all controllers reach each other, so that each of them receives a cancellation before it is confirmed to its user. */
    var cancellationsReplicatedAtOnce = false

    /** Since when the site has been free of faults, so that no job may be left waiting; null while there are faults. */
    var faultFreeSinceMillis: Double? = null

    /** Called when the last task of a job is done. */
    var onJobComplete: (SimUser) -> Unit = {}

    /** Whether a task fails on a machine, [failsAfterSeconds] after its start. */
    var fails: (task: TaskId, machine: String) -> Boolean = { _, _ -> false }
    var failsAfterSeconds = 1.0

    /** Called when a task has left a machine, [done] or not. */
    var onEnded: (task: TaskId, machine: String, done: Boolean) -> Unit = { _, _, _ -> }

    fun breach(rule: String, detail: String) {
        breaches += "$rule at ${"%.1f".format(sim.nowMillis / 1000)}: $detail"
    }

    override fun spec(task: TaskId) = users[task.job]?.spec?.takeIf { task.index < it.tasks }

    override fun workS(task: TaskId) = users[task.job]?.workSeconds?.invoke(task.index)

    override fun failsAfterS(worker: StandInWorker, task: TaskId): Double? = failsAfterSeconds.takeIf { fails(task, worker.name) }

    override fun started(worker: StandInWorker, task: TaskId) {
        starts++
        startsOf.merge(task.job, 1, Int::plus)
        startsOn.merge(worker.name, 1, Int::plus)
        val before = workerByTask[task]
        if (before != null && before !== worker) breach("ran_twice", "$task on ${worker.name} and ${before.name}")
        workerByTask[task] = worker
        val user = users.getValue(task.job)
        if (!user.spec.allows(worker.type, worker.zone, worker.spot)) breach("wrong_place", "$task on ${worker.name}")
        user.waitingSinceMillis = null
        pipelineReferee.checkStart(user, task)
        if (user.firstStartAtMillis == null) user.firstStartAtMillis = sim.nowMillis
        checkZones(user, task, worker)
        if (before == null) usedCpus.merge(user.spec.team, user.spec.request.cpus, Double::plus)
        val used = usedCpus.getValue(user.spec.team)
        if (used > limitOf(user.spec.team) + CPU_TOLERANCE) breach("quota", "$used CPUs with $task")
        checkCancelled(task)
    }

    private fun checkZones(user: SimUser, task: TaskId, worker: StandInWorker) {
        val zones = zonesOfTasks.getOrPut(task.job) { HashMap() }.also { it[task] = worker.zone }.values
        if (user.spec.oneZone && zones.distinct().size > 1) breach("wrong_place", "$task not in one zone")
        if (zones.count { it == worker.zone } > user.spec.maxTasksPerZone) breach("wrong_place", "$task not spread")
    }

    private fun limitOf(team: TeamName): Double = otherTeam?.takeIf { it.name == team }?.maxCpus ?: scale.teamCpus

    override fun ended(worker: StandInWorker, task: TaskId, done: Boolean) {
        if (workerByTask[task] === worker) {
            workerByTask.remove(task)
            val spec = users.getValue(task.job).spec
            zonesOfTasks.getValue(task.job).remove(task)
            usedCpus.merge(spec.team, -spec.request.cpus, Double::plus)
        }
        onEnded(task, worker.name, done)
        if (done) {
            completions++
            val user = users.getValue(task.job)
            user.doneTasks += task.index
            if (user.doneTasks.size == user.spec.tasks) {
                if (user.completedAtMillis == null) user.completedAtMillis = sim.nowMillis
                onJobComplete(user)
            }
        }
    }

    /** Checks that no task runs for longer than the cancellation timeout after its job was cancelled. To be called periodically. */
    fun checkCancelled() {
        workerByTask.keys.forEach(::checkCancelled)
    }

    private fun checkCancelled(task: TaskId) {
        val cancelledAtMillis = pipelineReferee.cancelledAtMillis(users.getValue(task.job)) ?: return
        if (sim.nowMillis - cancelledAtMillis > scale.cancelSeconds * 1000) breach("ran_cancelled", "$task")
    }

    /**
     * Checks that a message with commands starts no task of a job whose cancellation was confirmed to its user, once the sender must have
     * received the cancellation or have stopped starting tasks. To be called for each such message.
     */
    fun checkCommands(body: ByteArray) {
        val message = Json.read(body) ?: return
        for (command in message.get("dispatches") ?: return) {
            if (command.stringOrNull("order") != "start") continue
            val task = TaskId.parse(command.stringOrNull("box")!!)!!
            val cancelledAtMillis = users[task.job]?.let(pipelineReferee::cancelledAtMillis) ?: continue
            val sinceMillis = sim.nowMillis - cancelledAtMillis
            if (cancellationsReplicatedAtOnce || sinceMillis > MAX_START_AFTER_CANCEL_SECONDS * 1000) breach("started_cancelled", "$task")
        }
    }

    /** Returns the users who have to poll every controller now, since their jobs must be reported cancelled from now on. */
    fun overdueCancellations(): List<SimUser> = pipelineReferee.overdueCancellations()

    /** Checks the dependents of cancelled jobs. To be called when there have been no faults for longer than the cancellation timeout. */
    fun checkCancelledDependents() = pipelineReferee.checkCancelledDependents()

    /**
     * Checks and records [status], which [user] received in answer to a request sent at [requestedAtMillis]. Of two requests in flight,
     * the one sent before the final answer may still be answered with an earlier status.
     */
    fun recordStatus(user: SimUser, status: String, requestedAtMillis: Double) {
        val final = status == "done" || status == "aborted"
        if (user.finished && !final && requestedAtMillis < user.finishedAtMillis) return
        if (user.finished && status != user.status) breach("went_back", "${user.spec.id}: ${user.status}, then $status")
        if (!user.finished) user.finishedAtMillis = sim.nowMillis
        if (status == "done" && user.doneTasks.size < user.spec.tasks) breach("not_done", "${user.spec.id}")
        if (status == "aborted" && user.cancelledAtMillis == null) user.cancelledAtMillis = sim.nowMillis
        user.status = status
        pipelineReferee.checkAnswer(user)
    }

    /**
     * Checks that each accepted job that was not reported cancelled has been answered for within the last [ANSWER_LIMIT_SECONDS]. To be
     * called when there have been no faults for that long.
     */
    fun checkAnswered() {
        for (user in users.values) {
            if (!user.accepted || user.status == "aborted") continue
            if (sim.nowMillis - user.lastAnswerAtMillis > ANSWER_LIMIT_SECONDS * 1000) breach("forgotten", "${user.spec.id} gets no answer")
        }
    }

    /** Checks that no job waits for [MAX_WAIT_WITH_CAPACITY_SECONDS] while it could start. To be called periodically. */
    fun checkWaiting() {
        val faultFreeSinceMillis = faultFreeSinceMillis ?: return
        for (user in users.values) {
            val blocked = pipelineReferee.releasedAtMillis(user) == null || pipelineReferee.dependencyCancelRequested(user)
            if (!user.accepted || user.finished || user.cancelRequestedAtMillis != null || blocked || !couldStart(user)) {
                user.waitingSinceMillis = null
                continue
            }
            val since = user.waitingSinceMillis ?: sim.nowMillis.also { user.waitingSinceMillis = it }
            if (sim.nowMillis - maxOf(since, faultFreeSinceMillis) > MAX_WAIT_WITH_CAPACITY_SECONDS * 1000) {
                breach("left_waiting", "${user.spec.id}")
                user.waitingSinceMillis = null
            }
        }
    }

    /** Whether a machine that the job may use has capacity for one more of its tasks, within the team's limit. */
    private fun couldStart(user: SimUser): Boolean {
        val spec = user.spec
        val running = zonesOfTasks[spec.id].orEmpty()
        if (user.doneTasks.size + running.size >= spec.tasks) return false
        if ((usedCpus[spec.team] ?: 0.0) + spec.request.cpus > limitOf(spec.team) + CPU_TOLERANCE) return false
        return workers().any { worker ->
            val zones = running.values
            worker.alive && !worker.hanging && worker.freeCpus() >= spec.request.cpus &&
                spec.allows(worker.type, worker.zone, worker.spot) && (!spec.oneZone || zones.all { it == worker.zone }) &&
                zones.count { it == worker.zone } < spec.maxTasksPerZone
        }
    }

    /**
     * Checks that at least half of the jobs of each class, of each team, and of the largest jobs of each class have started within
     * [MAX_START_DELAY_SECONDS] of their release.
     */
    fun checkStartDelays() {
        val counted = users.values.filter {
            it.accepted && it.cancelRequestedAtMillis == null && pipelineReferee.releasedAtMillis(it) != null &&
                !pipelineReferee.dependencyCancelRequested(it)
        }
        val groups = counted.groupBy { "class ${it.spec.workloadClass}" } + counted.groupBy { "team ${it.spec.team}" } +
            counted.groupBy { it.spec.workloadClass }.map { (workloadClass, members) ->
                val largest = (members.size + LARGEST_JOBS_ONE_IN - 1) / LARGEST_JOBS_ONE_IN
                "largest of $workloadClass" to members.sortedByDescending { it.spec.tasks }.take(largest)
            }
        for ((group, members) in groups) {
            val served = members.count { user ->
                user.firstStartAtMillis?.let { it - pipelineReferee.releasedAtMillis(user)!! <= MAX_START_DELAY_SECONDS * 1000 } ?: false
            }
            if (served * 2 < members.size) breach("unserved", "$served of ${members.size} of $group")
        }
    }

    private companion object {
        const val CPU_TOLERANCE = 1e-6
        const val ANSWER_LIMIT_SECONDS = 75.0
        const val MAX_WAIT_WITH_CAPACITY_SECONDS = 90.0
        const val MAX_START_DELAY_SECONDS = 240.0
        const val LARGEST_JOBS_ONE_IN = 5

        /** Within this time a controller without contact to the state service and its peers stops starting tasks, clock drift included. */
        const val MAX_START_AFTER_CANCEL_SECONDS = 3.2
    }
}
