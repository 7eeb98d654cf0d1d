package copperglade.protocol

/** How a job's tasks belong together, with its name on the wire. */
enum class JobKind(val wireName: String) {
    /** Tasks that run once each, independently of each other. */
    ARRAY("array"),

    /** Tasks that run until they are cancelled. */
    SERVICE("daemon"),

    /** All tasks at once or none; the protocol at hand takes no such submissions. */
    GANG("ensemble"),
}

/** From the most to the least important, with the name on the wire. */
enum class Priority(val wireName: String) {
    PRODUCTION("prod"),
    HIGH("urgent"),
    NORMAL("normal"),
    LOW("best_effort"),
}

/** The image that a job's tasks run from. */
data class Image(val name: ImageName, val sizeGb: Double)

/**
 * A job as its user described it.
 *
 * @property workloadClass the workload class that objectives and predictions go by.
 * @property request what each task takes.
 * @property types the machine types that its tasks may run on; null: any.
 * @property zone the zone that its tasks must run in; null: any.
 * @property oneZone whether all tasks must run in the same zone.
 * @property spread whether no zone may run more than half of the tasks.
 * @property estimatedSeconds how long a task runs, by its user's estimate.
 * @property checkpointIntervalSeconds how often a task makes a checkpoint by itself; 0: never.
 * @property checkpointSeconds how long a task needs for a checkpoint before it stops.
 * @property deadlineSeconds how soon after its submission it should be done; null: no deadline.
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

    /** The most tasks that [spread] lets one zone hold. */
    val perZoneLimit: Int get() = if (spread) (tasks + 1) / 2 else tasks

    /** The same job with another priority. */
    fun withPriority(priority: Priority): JobSpec = if (priority == this.priority) this else copy(priority = priority)

    /** The same job without the list of machine types, which isn't needed once none of its tasks is placed any more. */
    fun withoutTypes(): JobSpec = copy(types = null)
}
