package copperglade.protocol

/** How a job's tasks run in relation to each other, with the name on the wire. */
enum class JobKind(val wireName: String) {
    /** Tasks that run once each, independently of each other. */
    ARRAY("array"),

    /** Tasks that run until they are cancelled. */
    SERVICE("daemon"),

    /** All tasks run at once or none does; the current protocol accepts no submissions of this kind. */
    GANG("ensemble"),
}

/** A job's priority, from the most to the least important, with the name on the wire. */
enum class Priority(val wireName: String) {
    PRODUCTION("prod"),
    HIGH("urgent"),
    NORMAL("normal"),
    LOW("best_effort"),
}

/** The image that a job's tasks run from. */
data class Image(val name: ImageName, val sizeGb: Double)

/**
 * The description of a job in the user's submission.
 *
 * @property workloadClass the class by which service level objectives and run time predictions group jobs.
 * @property request the resources that each task requests.
 * @property types the machine types that the tasks may run on; null: any.
 * @property zone the zone that the tasks must run in; null: any.
 * @property oneZone whether all tasks must run in the same zone.
 * @property spread whether no zone may run more than half of the tasks.
 * @property estimatedSeconds the run time of a task, as estimated by the user.
 * @property checkpointIntervalSeconds the interval at which a running task makes checkpoints; 0: never.
 * @property checkpointSeconds the time that a task needs for a checkpoint before the task stops.
 * @property deadlineSeconds the time after submission within which the job should be done; null: no deadline.
 */
data class JobSpec(
    val id: JobId,
    val workloadClass: String,
    val team: TeamName,
    val kind: JobKind,
    val priority: Priority,
    val tasks: Int,
    val request: Resources,
    val image: Image,
    val types: List<String>?,
    val zone: String?,
    val oneZone: Boolean,
    val spread: Boolean,
    val spotAllowed: Boolean,
    val estimatedSeconds: Double,
    val checkpointIntervalSeconds: Double,
    val checkpointSeconds: Double,
    val deadlineSeconds: Double?,
) {
    /** Whether machines of this type, in this zone and of this kind may run the job's tasks at all. */
    fun allows(type: String, machineZone: String, spot: Boolean): Boolean =
        (types == null || type in types) && (zone == null || zone == machineZone) && (!spot || spotAllowed)

    /** The maximum number of tasks that may run in one zone, given [spread]. */
    val maxTasksPerZone: Int get() = if (spread) (tasks + 1) / 2 else tasks

    /** A copy with another priority. */
    fun withPriority(priority: Priority): JobSpec = if (priority == this.priority) this else copy(priority = priority)

    /** A copy without the list of machine types, which isn't needed once no task of the job is placed any more. */
    fun withoutTypes(): JobSpec = copy(types = null)

    companion object {
        /** The maximum number of tasks of a job. Tasks are numbered from 0. */
        const val MAX_TASKS = 100_000
    }
}
