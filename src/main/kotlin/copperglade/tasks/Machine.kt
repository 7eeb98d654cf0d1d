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
 * A machine of a shard, as its worker last described it.
 *
 * The order of its heartbeats is kept in [sequence], what is on it in [load], what was sent to it in [channel], and the images that
 * it holds in [imageCache].
 *
 * @param startedUnderCurrentOwner whether its present agent epoch certainly began under the present owner, so that no command
 *   of a former owner can take effect.
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

    /** Where its worker takes commands. */
    var endpoint = endpoint
        private set

    /** The highest fencing token that the worker is known to have seen. */
    var fencingToken = FencingToken.NONE
        private set

    /** Whether the cloud has announced that it takes the machine back. */
    var evictionNoticed = false
        private set

    /** When a heartbeat or reply was last accepted; the machine's discovery counts as one. */
    var lastContactAt = now
        private set

    /** When a heartbeat or reply was last accepted, or [MonotonicTime.NEVER]. */
    var lastUpdateAt = MonotonicTime.NEVER
        private set

    /** When the worker's own heartbeats last arrived; replies to direct commands say nothing about its lease. */
    var lastHeartbeatAt = MonotonicTime.NEVER
        private set

    /**
     * The latest moment from which the worker's lease may count: when a heartbeat was last acknowledged, or a new agent epoch was
     * first heard of, since an epoch has a lease from its own beginning.
     */
    var leaseRenewedAt = now
        private set

    /** Acknowledged heartbeats since which the worker has not shown the fencing token that the responses carried. */
    var unacknowledgedResponses = 0

    /** Since when the worker has reported no task that has not exited. */
    var idleSince = now
        private set

    /** Whether the machine is being emptied: nothing is placed on it. */
    var draining = false

    /** Whether the cloud has been asked to delete the machine and has not answered yet. */
    var deleting = false

    val epoch: Long get() = sequence.epoch
    val runs: Collection<Run> get() = load.runs
    val reportedTasks: List<ReportedTask> get() = load.reportedTasks

    /** Whether no run is bound to it and its worker reports no task. */
    val isEmpty: Boolean get() = load.isEmpty
    val cachedImages: List<ImageName> get() = imageCache.images

    /** Records that the worker itself sent [heartbeat] and waits for the response. */
    fun recordHeartbeat(heartbeat: Heartbeat, now: MonotonicTime) {
        lastHeartbeatAt = now
        sequence.recordHeartbeat(heartbeat)
    }

    /** Records that a heartbeat has arrived whose content is unverified: the worker's lease is not running out unnoticed. */
    fun recordUnverifiedHeartbeat(now: MonotonicTime) {
        lastHeartbeatAt = now
    }

    /** Records that a heartbeat is being acknowledged, which renews the worker's lease if the response arrives. */
    fun renewLease(now: MonotonicTime) {
        leaseRenewedAt = now
    }

    /**
     * Accepts [heartbeat], the worker's own or the reply to a command. Returns false where a newer one is known already: then it
     * changes nothing, and doesn't even show that the machine lives.
     */
    fun update(heartbeat: Heartbeat, now: MonotonicTime): Boolean {
        if (!sequence.isNewerThanAccepted(heartbeat)) return false
        apply(heartbeat, now)
        return true
    }

    /** Accepts [heartbeat] from a worker that has restarted and counts from the start again. */
    fun restart(heartbeat: Heartbeat, now: MonotonicTime) {
        sequence.restart()
        fencingToken = FencingToken.NONE
        apply(heartbeat, now)
    }

    private fun apply(heartbeat: Heartbeat, now: MonotonicTime) {
        lastContactAt = now
        lastUpdateAt = now
        if (heartbeat.epoch != epoch) leaseRenewedAt = now
        sequence.accept(heartbeat)
        if (heartbeat.fencingToken > fencingToken) fencingToken = heartbeat.fencingToken
        load.updateReportedTasks(heartbeat.reportedTasks)
        evictionNoticed = heartbeat.evictionNoticeSeconds != null
        endpoint = heartbeat.endpoint
        channel.discardResolved(epoch, fencingToken, reportedTasks)
        if (reportedTasks.any { it.state != ReportedTaskState.EXITED }) idleSince = now
    }

    /** Binds [run] to the machine; called by [Run.bind]. */
    fun attach(run: Run) = load.attach(run)

    /** Releases [run] from the machine; called by [Run.unbind]. */
    fun detach(run: Run) = load.detach(run)

    /** To be called when a run bound to the machine has changed its state. */
    fun invalidateFreeCapacity() = load.invalidateFreeCapacity()

    /** The run that [reportedTask] is an attempt of, or null where none is bound here. */
    fun runOf(reportedTask: ReportedTask): Run? = load.runOf(reportedTask)

    /** How the worker reports [attempt] at [task], or null where it doesn't. */
    fun reportedTask(task: TaskId, attempt: Attempt): ReportedTask? = load.reportedTask(task, attempt)

    /** Whether the machine is believed to hold [image]. */
    fun hasImage(image: Image): Boolean = image.name in imageCache

    /** Whether a task on the machine is fetching [image]. */
    fun isFetching(image: Image): Boolean = runs.any { it.spec.image.name == image.name && it.state == RunState.FETCHING }

    /** The capacity that is free for further tasks, see [MachineLoad.freeCapacity]. */
    fun freeCapacity(type: MachineType, now: MonotonicTime, requestOf: (TaskId) -> Resources?): Resources =
        load.freeCapacity(type, now, requestOf)
}
