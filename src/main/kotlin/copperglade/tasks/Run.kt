package copperglade.tasks

import copperglade.protocol.Attempt
import copperglade.protocol.JobSpec
import copperglade.protocol.MachineName
import copperglade.protocol.MonotonicTime
import copperglade.protocol.TaskId
import copperglade.safety.Refusal
import org.slf4j.LoggerFactory

/** Where a run stands between its assignment to the shard and its outcome. */
enum class RunState {
    /** Assigned before the grant and not found yet: it may be on a machine that has not been heard from. */
    MISSING,

    /** Certainly on no machine; to be started. */
    WAITING,

    /** Bound to a machine, whose worker is being told to start it. */
    STARTING,

    /** The worker fetches the image, or waits for the other tasks of a gang. */
    FETCHING,
    RUNNING,

    /** The worker is being told to stop it, or the task is saving its checkpoint. */
    STOPPING,

    /** Completed; to be recorded. */
    DONE,

    /** Certainly on no machine; to be returned to the leader. */
    GONE,
}

/** Why a run is stopped. */
enum class StopReason {
    /** Its job was cancelled. */
    CANCELLED,

    /** The leader took it back so that another team gets its guaranteed quota. */
    PREEMPTED_FOR_GUARANTEE,

    /** It makes room for a run of higher priority. */
    PREEMPTED,

    /** It is a straggler and starts again on another machine. */
    RESTARTED,
    ;

    /** Whether the reason replaces another for which the run is being stopped already. */
    val isFinal: Boolean get() = this == CANCELLED || this == PREEMPTED_FOR_GUARANTEE
}

/**
 * A task that is assigned to a shard, as the shard's owner follows it.
 *
 * @param generation the generation of the assignment: a task that is returned to the leader is returned under this generation.
 * @param acceptedAtMillis when the job was accepted, in wall-clock milliseconds.
 * @param onStateChanged called after every state transition.
 */
class Run(
    val task: TaskId,
    spec: JobSpec,
    val generation: Int,
    val acceptedAtMillis: Long,
    initialState: RunState,
    now: MonotonicTime,
    private val onStateChanged: (Run) -> Unit = {},
) {
    /** The job as it is scheduled now; jobs that come to depend on it may raise its priority. */
    var spec = spec
        private set
    var state = initialState
        private set

    /** When the run entered [state]. */
    var stateSince = now
        private set

    /** The machine to which the run is bound. */
    var machine: Machine? = null
        private set
    var attempt = Attempt(0)
        private set

    /** Whether the worker has reported this attempt. */
    var confirmedByWorker = false

    /** When this attempt was first reported as running. */
    var runningSince: MonotonicTime? = null
        private set

    /** Why the run is being stopped; null where it isn't. */
    var stopReason: StopReason? = null

    /** When the start of this attempt was last sent. */
    var startSentAt = MonotonicTime.NEVER

    /** When the stop of this attempt was last sent. */
    var stopSentAt = MonotonicTime.NEVER

    /** Not to be started before; set after a failure. */
    var earliestStartAt = MonotonicTime.NEVER

    /** Machines on which the task has failed or was refused. */
    val avoidedMachines = HashSet<MachineName>()

    /** Why it was not started when that was last checked. */
    var lastRefusal: Refusal? = null

    private var victims: List<Run> = emptyList()
    private var preemptor: Run? = null

    /** Whether a run that was preempted for this one has not left its machine yet. */
    val awaitsPreemption: Boolean get() = victims.any { it.state == RunState.STOPPING }

    /**
     * Whether this run is being stopped for another that still waits. Its resources must not be promised to a second one, or
     * waiting runs would preempt more than they need.
     */
    val isPreemptedForWaitingRun: Boolean get() = preemptor?.state == RunState.WAITING

    /** Records that [victims] are being stopped to make room for this run. */
    fun preempts(victims: List<Run>) {
        this.victims = victims
        victims.forEach { it.preemptor = this }
    }

    /** How often the task has failed in this shard. */
    var failures = 0

    /** The machine on which a straggler is to run again. */
    var restartTarget: MachineName? = null

    /** Whether the task has been restarted as a straggler, here or under a former owner. */
    var restarted = false

    /** How long the straggler had been running when it was stopped, in seconds. */
    var stragglerRunSeconds: Double? = null

    /** Whether the task may be on its machine now, or may yet be started there. */
    val occupiesMachine: Boolean
        get() = when (state) {
            RunState.STARTING, RunState.FETCHING, RunState.RUNNING, RunState.STOPPING -> true
            RunState.MISSING, RunState.WAITING, RunState.DONE, RunState.GONE -> false
        }

    /** Moves the run to the state [next]; no effect where it is in that state already. */
    fun transitionTo(next: RunState, reason: String, now: MonotonicTime) {
        if (next == state) return
        log.debug("run_state_changed task={} from={} to={} machine={} reason=\"{}\"", task, state, next, machine?.name, reason)
        if (next == RunState.RUNNING && runningSince == null) runningSince = now
        state = next
        stateSince = now
        machine?.invalidateFreeCapacity()
        onStateChanged(this)
    }

    /** Binds the run to the machine [to] under [newAttempt]. */
    fun bind(to: Machine, newAttempt: Attempt) {
        machine = to
        attempt = newAttempt
        to.attach(this)
        victims = emptyList()
        preemptor = null
        confirmedByWorker = false
        runningSince = null
        startSentAt = MonotonicTime.NEVER
        stopSentAt = MonotonicTime.NEVER
    }

    /** Has the run started again under the same attempt, on the machine to which it stays bound and whose worker has restarted. */
    fun restartAttempt(now: MonotonicTime) {
        confirmedByWorker = false
        runningSince = null
        startSentAt = MonotonicTime.NEVER
        if (state != RunState.STOPPING) transitionTo(RunState.STARTING, "its worker restarted", now)
    }

    /** Releases the run from its machine, if it is bound to one. */
    fun unbind() {
        machine?.detach(this)
        machine = null
    }

    /** Takes over the job's present specification. */
    fun updateSpec(spec: JobSpec) {
        this.spec = spec
    }

    private companion object {
        val log = LoggerFactory.getLogger("tasks")
    }
}
