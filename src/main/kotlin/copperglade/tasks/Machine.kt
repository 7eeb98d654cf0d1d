package copperglade.tasks

import copperglade.protocol.Attempt
import copperglade.protocol.Endpoint
import copperglade.protocol.FencingToken
import copperglade.protocol.Heartbeat
import copperglade.protocol.Image
import copperglade.protocol.ImageName
import copperglade.protocol.MachineName
import copperglade.protocol.MachineType
import copperglade.protocol.MonotonicTime
import copperglade.protocol.ReportedTask
import copperglade.protocol.ReportedTaskState
import copperglade.protocol.Resources
import copperglade.protocol.TaskId

/**
 * A machine of a shard, as last reported by its worker.
 *
 * [sequence] orders the machine's heartbeats, [load] holds its runs and reported tasks, [channel] the commands sent to its worker, and
 * [imageCache] its images.
 *
 * @param startedUnderCurrentOwner whether the machine's current agent epoch certainly began under the current shard owner, so that no
 *   command of a former owner can take effect.
 */
class Machine(
    val name: MachineName,
    val zone: String,
    val spot: Boolean,
    val typeName: String,
    endpoint: Endpoint,
    now: MonotonicTime,
    val startedUnderCurrentOwner: Boolean = false,
) {
    val sequence = HeartbeatSequence()
    val channel = CommandChannel()
    val imageCache = ImageCache()
    private val load = MachineLoad()

    /** The address at which the worker accepts commands. */
    var endpoint = endpoint
        private set

    /** The fencing token in the newest accepted heartbeat or reply. It is lower than the one before only if the worker has restarted. */
    var fencingToken = FencingToken.NONE
        private set

    /** Whether the cloud has announced the eviction of the machine. */
    var evictionNoticed = false
        private set

    /** When a heartbeat or reply was last accepted; initially when the machine was discovered. */
    var lastContactAt = now
        private set

    /** When a heartbeat or reply was last accepted, or [MonotonicTime.NEVER]. */
    var lastUpdateAt = MonotonicTime.NEVER
        private set

    /** When a heartbeat that the worker sent on its own last arrived. Replies to direct commands don't renew the lease. */
    var lastHeartbeatAt = MonotonicTime.NEVER
        private set

    /**
     * The latest time at which the worker's lease may have started: when a heartbeat was last acknowledged, or when a new agent epoch
     * or a restart of the worker was first noticed, since both begin with a lease. A restart that nobody has noticed yet may have begun a
     * later lease, but it has none of this owner's tasks: they start only with an acknowledgement. See [Run.foundAt] for a former owner's.
     */
    var leaseRenewedAt = now
        private set

    /** The number of responses since the worker last reported a fencing token of this owner, although each response carried one. */
    var unacknowledgedResponses = 0

    /** Since when all tasks that the worker reports have exited. */
    var idleSince = now
        private set

    /** Whether the machine is being drained: no tasks are placed on it. */
    var draining = false

    /** Whether a request to the cloud to delete the machine is in flight. */
    var deleting = false

    val epoch: Long get() = sequence.epoch
    val runs: Collection<Run> get() = load.runs
    val reportedTasks: List<ReportedTask> get() = load.reportedTasks

    /** Whether no run is bound to the machine and its worker reports no task. */
    val isEmpty: Boolean get() = load.isEmpty
    val cachedImages: List<ImageName> get() = imageCache.images

    /** Records that the worker sent [heartbeat] on its own and waits for the response. */
    fun recordHeartbeat(heartbeat: Heartbeat, now: MonotonicTime) {
        lastHeartbeatAt = now
        sequence.recordHeartbeat(heartbeat)
    }

    /** Records that an unverified heartbeat has arrived: the worker still requests lease renewals. */
    fun recordUnverifiedHeartbeat(now: MonotonicTime) {
        lastHeartbeatAt = now
    }

    /** Records that a heartbeat is being acknowledged. The worker's lease is renewed if the response arrives. */
    fun renewLease(now: MonotonicTime) {
        leaseRenewedAt = now
    }

    /**
     * Accepts [heartbeat], sent by the worker on its own or in reply to a command. Returns false, and changes nothing, if
     * an equally new or newer one has been accepted already: a late copy is no evidence that the machine is alive.
     */
    fun update(heartbeat: Heartbeat, now: MonotonicTime): Boolean {
        if (!sequence.isNewerThanAccepted(heartbeat)) return false
        apply(heartbeat, now)
        return true
    }

    /** Accepts [heartbeat] from a worker that has restarted and reset its agent epoch and sequence number. */
    fun onWorkerRestarted(heartbeat: Heartbeat, now: MonotonicTime) {
        sequence.onWorkerRestarted()
        leaseRenewedAt = now
        apply(heartbeat, now)
    }

    private fun apply(heartbeat: Heartbeat, now: MonotonicTime) {
        lastContactAt = now
        lastUpdateAt = now
        if (heartbeat.epoch != epoch) leaseRenewedAt = now
        sequence.accept(heartbeat)
        fencingToken = heartbeat.fencingToken
        load.updateReportedTasks(heartbeat.reportedTasks)
        evictionNoticed = heartbeat.evictionNoticeSeconds != null
        endpoint = heartbeat.endpoint
        channel.discardExecutedRemovals(reportedTasks)
        if (reportedTasks.any { it.state != ReportedTaskState.EXITED }) idleSince = now
    }

    /** Binds [run] to the machine; called by [Run.bind]. */
    fun attach(run: Run) = load.attach(run)

    /** Releases [run] from the machine; called by [Run.unbind]. */
    fun detach(run: Run) = load.detach(run)

    /** Must be called when a run bound to the machine has changed its state. */
    fun invalidateFreeCapacity() = load.invalidateFreeCapacity()

    /** Returns the run bound to this machine of which [reportedTask] is an attempt, or null if there is none. */
    fun runOf(reportedTask: ReportedTask): Run? = load.runOf(reportedTask)

    /** Returns the worker's report of [attempt] at [task], or null if the worker doesn't report the attempt. */
    fun reportedTask(task: TaskId, attempt: Attempt): ReportedTask? = load.reportedTask(task, attempt)

    /** Whether the machine has presumably cached [image]. */
    fun hasImage(image: Image): Boolean = image.name in imageCache

    /** Whether a task on the machine is fetching [image]. */
    fun isFetching(image: Image): Boolean = runs.any { it.spec.image.name == image.name && it.state == RunState.FETCHING }

    /** Returns the capacity that is free for further tasks, see [MachineLoad.freeCapacity]. */
    fun freeCapacity(type: MachineType, now: MonotonicTime, requestOf: (TaskId) -> Resources?): Resources =
        load.freeCapacity(type, now, requestOf)
}
