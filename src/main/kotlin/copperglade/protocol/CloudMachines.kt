package copperglade.protocol

/**
 * A machine type of the cloud's catalog.
 *
 * @property imageCacheGb the part of the disk that caches images.
 * @property price the price of an on-demand machine; prices are only compared with each other.
 * @property spotPrice the price of a spot machine.
 * @property bootSeconds the boot time that the cloud states.
 * @property zones the zones in which the type can be rented.
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

/** The status of a machine in the cloud's list. */
enum class MachineStatus { BOOTING, RUNNING, FAILED }

/** A machine in the cloud's list, which lags some seconds behind. */
class ListedMachine(
    val name: MachineName,
    val type: String,
    val zone: String,
    val spot: Boolean,
    val status: MachineStatus,
    val ageSeconds: Double,
)

/** A page of the cloud's list of machines; [hasMore] tells whether further pages follow. */
class MachinePage(val machines: List<ListedMachine>, val hasMore: Boolean)
