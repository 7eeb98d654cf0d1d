package copperglade.protocol

/**
 * A machine type of the cloud's catalog.
 *
 * @property imageCacheGb how much of its disk caches images.
 * @property price of an on-demand machine; only compared with each other.
 * @property spotPrice of a spot machine.
 * @property bootSeconds how long the cloud says that booting takes.
 * @property zones where it can be rented.
 */
class MachineType(
    val name: String,
    val capacity: Resources,
    val imageCacheGb: Double,
    val fetchGbPerSecond: Double,
    val price: Double,
    val spotPrice: Double,
    val bootSeconds: Double,
    val zones: List<String>,
)

/** What the cloud says of a machine. */
enum class MachineStatus { BOOTING, RUNNING, FAILED }

/** A machine as the cloud lists it, some seconds late. */
class ListedMachine(
    val name: MachineName,
    val type: String,
    val zone: String,
    val spot: Boolean,
    val status: MachineStatus,
    val ageSeconds: Double,
)

/** A page of the cloud's list of machines; [hasMore] tells whether others follow. */
class MachinePage(val machines: List<ListedMachine>, val hasMore: Boolean)
