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
import kotlin.time.Duration.Companion.milliseconds

/**
 * A start whose outcome nobody told: a late copy of it may act as long as session and fencing token still match, or until
 * [expiresAt] where it went out with an answer.
 */
class UnresolvedStart(
    val task: TaskId,
    val attempt: Attempt,
    val epoch: Long,
    val fencingToken: FencingToken,
    val sentAt: MonotonicTime,
    val expiresAt: MonotonicTime?,
)

/** A machine of a shard, as its worker last described it. */
class Machine(
    val name: MachineName,
    val zone: String,
    val spot: Boolean,
    val typeName: String,
    var endpoint: Endpoint,
    now: MonotonicTime,
    /** Whether its present session surely began under the present owner, so that no former owner's command can act. */
    val startedUnderCurrentOwner: Boolean = false,
) {
    var epoch = 0L
        private set
    var sequenceNumber = -1L
        private set

    /** The highest fencing token that the worker is known to have seen. */
    var fencingToken = FencingToken.NONE
        private set
    var reportedTasks: List<ReportedTask> = emptyList()
        private set
    var evictionNoticed = false
        private set
    var lastContactAt = now
        private set

    /** When the numbers of the latest report were taken in. */
    var lastUpdateAt = MonotonicTime.NEVER
        private set

    /** The numbers of the latest report that the worker sent by itself. */
    private var sentEpoch = 0L
    private var sentSequenceNumber = -1L

    /** When the worker's own reports last arrived; answers to direct commands say nothing of its lease. */
    var lastHeartbeatAt = MonotonicTime.NEVER
        private set

    /** The highest numbers of an earlier life, before the machine began anew. */
    private var formerEpoch = 0L
    private var formerSequenceNumber = -1L

    /**
     * When a report was last answered with 200, or a new session was heard of: the lease ends a lease's time after that at the
     * latest. A session has its lease from its own beginning. A worker that reached no controller began a new one, was given
     * tasks in it by direct commands, and was taken for gone by the answers to the session before, while they ran.
     */
    var leaseRenewedAt = now

    /** Answers since the fencing token in them could have been taken up, had any arrived. */
    var unacknowledgedReplies = 0
    var idleSince = now
    private val runsByAttempt = LinkedHashMap<Attempt, Run>()

    /** The runs bound to this machine. */
    val runs: Collection<Run> get() = runsByAttempt.values
    val unresolvedStarts = ArrayList<UnresolvedStart>()
    val removalSentAt = HashMap<Attempt, MonotonicTime>()
    var lastRemovalSentAt = MonotonicTime.NEVER
    var commandInFlight = false
    var commandSentAt = MonotonicTime.NEVER

    /** Since when direct commands have gone unanswered; then commands go out with the answers to reports. */
    var unresponsiveSince: MonotonicTime? = null
    val unresponsive: Boolean get() = unresponsiveSince != null
    var draining = false
    var deleting = false
    private val images = LinkedHashMap<ImageName, Double>()

    val cachedImages: List<ImageName> get() = images.keys.toList()

    /**
     * Whether a report is no newer than one that the worker has sent already. It sends one at a time, so it waits for
     * no answer to this one any more: a late copy.
     */
    fun isDuplicate(heartbeat: Heartbeat): Boolean = !heartbeat.isNewerThan(sentEpoch, sentSequenceNumber)

    /**
     * Whether a report may as well be of an earlier life of the machine, late: then only answers to our own questions
     * tell how it is.
     */
    fun isUnverified(heartbeat: Heartbeat): Boolean = !heartbeat.isNewerThan(formerEpoch, formerSequenceNumber)

    /** Reports up to these numbers may be of an earlier life. */
    fun markUnverifiedUpTo(epoch: Long, sequenceNumber: Long) {
        if (epoch < formerEpoch || (epoch == formerEpoch && sequenceNumber <= formerSequenceNumber)) return
        formerEpoch = epoch
        formerSequenceNumber = sequenceNumber
    }

    /** Reports come, though what they say is in doubt: a machine that began anew may count from the start for minutes. */
    fun recordUnverifiedHeartbeat(now: MonotonicTime) {
        lastHeartbeatAt = now
    }

    /** Takes note that the worker itself sent [heartbeat] and waits for the answer. */
    fun recordHeartbeat(heartbeat: Heartbeat, now: MonotonicTime) {
        lastHeartbeatAt = now
        sentEpoch = heartbeat.epoch
        sentSequenceNumber = heartbeat.sequenceNumber
    }

    /** Takes in a report; false where a newer one is known already: it says nothing, not even that the machine lives. */
    fun update(heartbeat: Heartbeat, now: MonotonicTime): Boolean {
        if (!heartbeat.isNewerThan(epoch, sequenceNumber)) return false
        take(heartbeat, now)
        return true
    }

    /** The machine has begun anew and counts from the start again. */
    fun restart(heartbeat: Heartbeat, now: MonotonicTime) {
        markUnverifiedUpTo(epoch, sequenceNumber)
        markUnverifiedUpTo(sentEpoch, sentSequenceNumber)
        sentEpoch = 0
        sentSequenceNumber = -1
        fencingToken = FencingToken.NONE
        take(heartbeat, now)
    }

    private fun take(heartbeat: Heartbeat, now: MonotonicTime) {
        lastContactAt = now
        lastUpdateAt = now
        if (heartbeat.epoch != epoch) leaseRenewedAt = now
        epoch = heartbeat.epoch
        sequenceNumber = heartbeat.sequenceNumber
        if (heartbeat.fencingToken > fencingToken) fencingToken = heartbeat.fencingToken
        reportedTasks = heartbeat.reportedTasks
        runChanged()
        evictionNoticed = heartbeat.evictionNoticeSeconds != null
        endpoint = heartbeat.endpoint
        unresolvedStarts.removeIf { it.epoch < epoch || it.fencingToken < fencingToken }
        removalSentAt.keys.removeIf { attempt -> reportedTasks.none { it.attempt == attempt } }
        if (reportedTasks.any { it.state != ReportedTaskState.EXITED }) idleSince = now
    }

    fun attach(run: Run) {
        runsByAttempt[run.attempt] = run
        runChanged()
    }

    fun detach(run: Run) {
        runsByAttempt.remove(run.attempt)
        runChanged()
    }

    /** To be told when a run of this machine has changed its state. */
    fun runChanged() {
        freeComputedAt = MonotonicTime.NEVER
    }

    fun runOf(reportedTask: ReportedTask): Run? = runsByAttempt[reportedTask.attempt]?.takeIf { it.task == reportedTask.task }

    fun reportedTask(task: TaskId, attempt: Attempt): ReportedTask? = reportedTasks.firstOrNull { it.attempt == attempt && it.task == task }

    fun hasUnresolvedStart(task: TaskId, attempt: Attempt): Boolean = unresolvedStarts.any { it.attempt == attempt && it.task == task }

    fun hasImage(image: Image): Boolean = image.name in images

    fun isFetching(image: Image): Boolean = runs.any { it.spec.image.name == image.name && it.state == RunState.FETCHING }

    /** What a former owner knew of its images; their sizes are not known any more. */
    fun rememberImages(names: List<ImageName>) = names.forEach { images.putIfAbsent(it, 0.0) }

    /** The worker keeps the most recently used images that its disk holds. */
    fun recordImageUse(image: Image, imageCacheGb: Double) {
        images.remove(image.name)
        images[image.name] = image.sizeGb
        while (images.size > 1 && images.values.sum() > imageCacheGb) images.remove(images.keys.first())
    }

    private var freeComputedAt = MonotonicTime.NEVER
    private var cachedFree = Resources.ZERO

    /**
     * What is free for further tasks, counting starts that have not arrived yet. Asked for ten times a second for every
     * machine, so it is worked out only after a change, and now and then for strays, whose requests are others' records.
     */
    fun freeCapacity(type: MachineType, now: MonotonicTime, requestOf: (TaskId) -> Resources?): Resources {
        if (now >= freeComputedAt + FREE_KEPT) {
            cachedFree = workOutFree(type, requestOf)
            freeComputedAt = now
        }
        return cachedFree
    }

    private fun workOutFree(type: MachineType, requestOf: (TaskId) -> Resources?): Resources {
        var free = type.capacity
        for (run in runs) if (run.occupiesMachine) free -= run.spec.request
        for (reportedTask in reportedTasks) {
            if (reportedTask.state == ReportedTaskState.EXITED || runOf(reportedTask) != null) continue
            // A stray of a job that is over: nobody knows its size, so nothing fits beside it.
            free -= requestOf(reportedTask.task) ?: type.capacity
        }
        return free
    }

    companion object {
        private val FREE_KEPT = 500.milliseconds
    }
}
