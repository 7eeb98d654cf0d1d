package copperglade.coordination

import copperglade.protocol.Baton
import copperglade.protocol.Box
import copperglade.protocol.BoxState
import copperglade.protocol.Endpoint
import copperglade.protocol.Image
import copperglade.protocol.ImageName
import copperglade.protocol.JobId
import copperglade.protocol.MachineName
import copperglade.protocol.MachineType
import copperglade.protocol.Moment
import copperglade.protocol.Report
import copperglade.protocol.Resources
import copperglade.protocol.TaskId
import copperglade.protocol.Trip

/**
 * A start whose outcome nobody told: a late copy of it may act as long as session and baton still match, or until
 * [actsUntil] where it went out with an answer.
 */
class Taint(
    val task: TaskId,
    val trip: Trip,
    val session: Long,
    val baton: Baton,
    val since: Moment,
    val actsUntil: Moment?,
)

/** A machine of a block, as its worker last described it. */
class Machine(
    val name: MachineName,
    val zone: String,
    val spot: Boolean,
    val typeName: String,
    var endpoint: Endpoint,
    now: Moment,
) {
    var session = 0L
        private set
    var tally = -1L
        private set

    /** The highest baton that the worker is known to have seen. */
    var baton = Baton.NONE
        private set
    var boxes: List<Box> = emptyList()
        private set
    var noticed = false
        private set
    var heardAt = now
        private set

    /** When a report was last answered with 200: the lease ends [leaseS] after that at the latest. */
    var answeredAt = now
    var emptySince = now
    val runs = LinkedHashSet<Run>()
    val taints = ArrayList<Taint>()
    val reapedAt = HashMap<Trip, Moment>()
    var commandInFlight = false
    var commandSentAt = Moment.NEVER

    /** Whether the last direct command went unanswered; then commands go out with the answers to reports. */
    var deaf = false
    var draining = false
    var deleting = false
    val failedJobs = HashSet<JobId>()
    var suspectUntil = Moment.NEVER
    private val images = LinkedHashMap<ImageName, Double>()

    val cachedImages: List<ImageName> get() = images.keys.toList()
    val faulty: Boolean get() = failedJobs.size >= FAULTY_JOBS

    /** Takes in a report; false where a newer one is known already. */
    fun update(report: Report, now: Moment): Boolean {
        heardAt = now
        if (!report.newerThan(session, tally)) return false
        session = report.session
        tally = report.tally
        if (report.baton > baton) baton = report.baton
        boxes = report.boxes
        noticed = report.noticeS != null
        endpoint = report.endpoint
        taints.removeIf { it.session < session || it.baton < baton }
        reapedAt.keys.removeIf { trip -> boxes.none { it.trip == trip } }
        if (boxes.any { it.state != BoxState.EXITED }) emptySince = now
        return true
    }

    fun box(task: TaskId, trip: Trip): Box? = boxes.firstOrNull { it.trip == trip && it.task == task }

    fun tainted(task: TaskId, trip: Trip): Boolean = taints.any { it.trip == trip && it.task == task }

    fun hasImage(image: Image): Boolean = image.name in images

    fun fetching(image: Image): Boolean = runs.any { it.spec.image.name == image.name && it.state == RunState.FETCHING }

    /** What a former owner knew of its images; their sizes are not known any more. */
    fun rememberImages(names: List<ImageName>) = names.forEach { images.putIfAbsent(it, 0.0) }

    /** The worker keeps the most recently used images that its disk holds. */
    fun usedImage(image: Image, cacheGb: Double) {
        images.remove(image.name)
        images[image.name] = image.gb
        while (images.size > 1 && images.values.sum() > cacheGb) images.remove(images.keys.first())
    }

    /** What is free for further tasks, counting starts that have not arrived yet. */
    fun free(type: MachineType, requestOf: (TaskId) -> Resources?): Resources {
        var free = type.capacity
        for (run in runs) if (run.onMachine) free -= run.spec.request
        for (box in boxes) {
            if (box.state == BoxState.EXITED || runs.any { it.task == box.task && it.trip == box.trip }) continue
            // A stray of a job that is over: nobody knows its size, so nothing fits beside it.
            free -= requestOf(box.task) ?: type.capacity
        }
        return free
    }

    companion object {
        private const val FAULTY_JOBS = 2
    }
}
