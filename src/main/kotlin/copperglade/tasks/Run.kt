package copperglade.tasks

import copperglade.protocol.Attempt
import copperglade.protocol.JobSpec
import copperglade.protocol.MachineName
import copperglade.protocol.MonotonicTime
import copperglade.protocol.TaskId
import copperglade.safety.Refusal
import org.slf4j.LoggerFactory

enum class RunState {
    /** Assigned before our grant and not found yet: it may be on a machine that has not been heard. */
    MISSING,

    /** Surely on no machine; to be started. */
    WAITING,

    /** A start is on its way. */
    STARTING,
    FETCHING,
    RUNNING,

    /** A stop command is on its way, or the task is saving. */
    STOPPING,

    /** Completed; to be recorded. */
    DONE,

    /** Surely on no machine; to be given back to the leader. */
    GONE,
}

enum class StopReason { CANCELLED, PREEMPTED_FOR_GUARANTEE, PREEMPTED, DRAINED, RESTARTED }

/** A task that is assigned to a shard, as its owner follows it. */
class Run(
    val task: TaskId,
    spec: JobSpec,
    val generation: Int,
    val acceptedAtMs: Long,
    initialState: RunState,
    now: MonotonicTime,
    private val onStateChanged: (Run) -> Unit = {},
) {
    /** The job as it is scheduled now; jobs that come to depend on it may raise its priority. */
    var spec = spec
        private set
    var state = initialState
        private set
    var stateSince = now
        private set
    var machine: Machine? = null
        private set
    var attempt = Attempt(0)
        private set

    /** Whether a report has shown this attempt on its machine. */
    var confirmedByWorker = false
    var runningSince: MonotonicTime? = null
        private set
    var stopReason: StopReason? = null
        private set
    var startSentAt = MonotonicTime.NEVER
    var stopSentAt = MonotonicTime.NEVER

    /** Not to be started before; set after failures. */
    var earliestStartAt = MonotonicTime.NEVER
    val avoidedMachines = HashSet<MachineName>()

    /** Why it was not started when that was last looked at. */
    var lastRefusal: Refusal? = null

    private var victims: List<Run> = emptyList()
    private var preemptor: Run? = null

    /** Whether something that was stopped to make room for it has not left its machine yet. */
    val awaitsPreemption: Boolean get() = victims.any { it.state == RunState.STOPPING }

    /**
     * Whether it is being stopped for another run that still waits. Were it reckoned with for a second one, a shard's tasks would
     * be stopped one after the other, each for all that wait.
     */
    val isPreemptedForWaitingRun: Boolean get() = preemptor?.state == RunState.WAITING

    /** Takes note that [victims] are stopped to make room for it. */
    fun preempts(victims: List<Run>) {
        this.victims = victims
        victims.forEach { it.preemptor = this }
    }

    /** How often the task has failed here. */
    var failures = 0

    /** Where a straggler is to run again. */
    var restartTarget: MachineName? = null
    var restarted = false

    /** How long it had run where it was a straggler. */
    var stragglerRunSeconds: Double? = null

    /** Whether it may be on its machine, or come to be. */
    val occupiesMachine: Boolean
        get() = when (state) {
            RunState.STARTING, RunState.FETCHING, RunState.RUNNING, RunState.STOPPING -> true
            RunState.MISSING, RunState.WAITING, RunState.DONE, RunState.GONE -> false
        }

    fun transitionTo(next: RunState, why: String, now: MonotonicTime) {
        if (next == state) return
        log.debug("{} {} -> {} on {}: {}", task, state, next, machine?.name, why)
        if (next == RunState.RUNNING && runningSince == null) runningSince = now
        state = next
        stateSince = now
        machine?.runChanged()
        onStateChanged(this)
    }

    fun bind(to: Machine, nextAttempt: Attempt) {
        machine = to
        attempt = nextAttempt
        to.attach(this)
        victims = emptyList()
        preemptor = null
        confirmedByWorker = false
        runningSince = null
        startSentAt = MonotonicTime.NEVER
        stopSentAt = MonotonicTime.NEVER
    }

    /** Bound as it is, it has to be started once more under the same attempt. */
    fun restartAttempt(now: MonotonicTime) {
        confirmedByWorker = false
        runningSince = null
        startSentAt = MonotonicTime.NEVER
        if (state != RunState.STOPPING) transitionTo(RunState.STARTING, "its machine began anew", now)
    }

    fun unbind() {
        machine?.detach(this)
        machine = null
    }

    fun updateSpec(spec: JobSpec) {
        this.spec = spec
    }

    fun stopFor(reason: StopReason) {
        stopReason = reason
    }

    fun clearStop() {
        stopReason = null
    }

    private companion object {
        val log = LoggerFactory.getLogger("run")
    }
}
