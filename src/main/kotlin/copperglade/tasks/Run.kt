package copperglade.tasks

import copperglade.protocol.Attempt
import copperglade.protocol.JobSpec
import copperglade.protocol.MachineName
import copperglade.protocol.MonotonicTime
import copperglade.protocol.TaskId
import copperglade.safety.Refusal
import org.slf4j.LoggerFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The state of a run between its assignment to the shard and its outcome. */
enum class RunState {
    /** Assigned before the grant and not found yet: the task may be on a machine whose worker has not sent a heartbeat to this owner. */
    MISSING,

    /** Confirmed absent from all machines; to be started. */
    WAITING,

    /** Bound to a machine; the start is being sent to its worker. */
    STARTING,

    /** The worker is fetching the image, or is waiting for the other tasks of the gang. */
    FETCHING,
    RUNNING,

    /** The stop is being sent to the worker, or the task is saving its checkpoint. */
    STOPPING,

    /** Completed; the outcome is to be recorded. */
    DONE,

    /** Confirmed absent from all machines; to be returned to the leader. */
    GONE,
}

/** Why a run is stopped. */
enum class StopReason {
    /** The job of the run was cancelled. */
    CANCELLED,

    /** The leader withdrew the assignment so that another team gets its guaranteed quota. */
    PREEMPTED_FOR_GUARANTEE,

    /** The run is preempted by a run of higher priority. */
    PREEMPTED,

    /** The run is a straggler and is restarted on another machine. */
    RESTARTED,
    ;

    /** Whether this reason replaces another reason for which the run is already being stopped. */
    val isFinal: Boolean get() = this == CANCELLED || this == PREEMPTED_FOR_GUARANTEE
}

/**
 * A task that is assigned to a shard, as tracked by the shard owner.
 *
 * @param generation the generation of the assignment, under which the task is returned to the leader if it isn't completed here.
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
    /** The current specification of the job. Its priority may rise when other jobs come to depend on the job. */
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

    /** Why the run is being stopped; null if the run isn't being stopped. */
    var stopReason: StopReason? = null

    /** When the start of this attempt was last sent, with a heartbeat response. */
    var startSentAt = MonotonicTime.NEVER

    /**
     * When the attempt, started by a former owner, was found on its machine. The task may run until the lease with which the worker's
     * incarnation began, or which the former owner renewed last, has expired, and both were before this time.
     */
    var foundAt = MonotonicTime.NEVER

    /** When the stop of this attempt was last sent. */
    var stopSentAt = MonotonicTime.NEVER

    /** The earliest time of the next start; set after a failure or a refused start. */
    var earliestStartAt = MonotonicTime.NEVER

    /** Machines on which the task has failed or whose workers have refused its start. */
    val avoidedMachines = HashSet<MachineName>()

    /** Why the last check didn't permit the start. */
    var lastRefusal: Refusal? = null

    private var victims: List<Run> = emptyList()
    private var preemptor: Run? = null

    /** Whether a run that was preempted for this one is still stopping on its machine. */
    val awaitsPreemption: Boolean get() = victims.any { it.state == RunState.STOPPING }

    /**
     * Whether this run was preempted for a run that is still waiting. Its resources must not be allocated to a second run, or waiting
     * runs would preempt more runs than they need.
     */
    val isPreemptedForWaitingRun: Boolean get() = preemptor?.state == RunState.WAITING

    /** Records that [victims] are being stopped to make room for this run. */
    fun recordVictims(victims: List<Run>) {
        this.victims = victims
        victims.forEach { it.preemptor = this }
    }

    /** The number of failures of the task in this shard. */
    var failures = 0

    /** The machine on which a straggler is to be restarted. */
    var restartTarget: MachineName? = null

    /** Whether the task has been restarted as a straggler, by this shard owner or a former one. */
    var restarted = false

    /** How long the straggler had been running when it was stopped, in seconds. */
    var stragglerRunSeconds: Double? = null

    /** Whether the task may be on its machine, or a start in flight may still start it there. */
    val occupiesMachine: Boolean
        get() = when (state) {
            RunState.STARTING, RunState.FETCHING, RunState.RUNNING, RunState.STOPPING -> true
            RunState.MISSING, RunState.WAITING, RunState.DONE, RunState.GONE -> false
        }

    /** The time since this attempt was started; where a former owner started it, since it was found. Zero if neither is known. */
    fun attemptDuration(now: MonotonicTime): Duration {
        val since = maxOf(startSentAt, foundAt)
        return if (since == MonotonicTime.NEVER) Duration.ZERO else (now.millis - since.millis).milliseconds
    }

    /** Moves the run to the state [next]; no effect if the run is already in that state. */
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
        foundAt = MonotonicTime.NEVER
        stopSentAt = MonotonicTime.NEVER
    }

    /** Schedules another start of the same attempt on the same machine, whose worker has restarted. */
    fun restartAttempt(now: MonotonicTime) {
        confirmedByWorker = false
        runningSince = null
        startSentAt = MonotonicTime.NEVER
        if (state != RunState.STOPPING) transitionTo(RunState.STARTING, "worker restarted", now)
    }

    /** Releases the run from its machine, if the run is bound to one. */
    fun unbind() {
        machine?.detach(this)
        machine = null
    }

    /** Replaces the specification by the job's current one. */
    fun updateSpec(spec: JobSpec) {
        this.spec = spec
    }

    private companion object {
        val log = LoggerFactory.getLogger("tasks")
    }
}
