package copperglade.protocol

/**
 * The capacity of one machine, as its shard's owner sees it.
 *
 * @property usable false where nothing new should be started, such as on a machine about to be taken back.
 * @property worthKeeping false where the machine had better be replaced.
 * @property idleMillis for how long nothing has been running on it.
 * @property preemptible by priority, the capacity that would be freed by stopping that work.
 */
data class MachineAvailability(
    val name: MachineName,
    val type: String,
    val zone: String,
    val spot: Boolean,
    val usable: Boolean,
    val worthKeeping: Boolean,
    val idleMillis: Long,
    val free: Resources,
    val preemptible: List<Resources>,
    val images: List<ImageName>,
) {
    /** The same without its images, which a truncated status leaves out. */
    fun withoutImages() = copy(images = emptyList())
}

/** The capacity of a shard's machines, under the fencing token of the owner that sends it. */
class ShardCapacity(val shard: ShardName, val fencingToken: FencingToken, val machines: List<MachineAvailability>)

/**
 * What a controller sends the others several times a second. These are hints: a controller that acts on one checks it against the
 * state service, and nothing relies on receiving one.
 *
 * @property knownRevision everything up to this revision of the state service is in the status.
 * @property stateServiceAnswerAgeMillis for how long the state service has not answered this controller.
 * @property shardsToRelease from the leader: shards that it would rather see with another owner.
 * @property machinesToRetire from the leader: machines that are no longer needed.
 * @property desiredWritesPerSecond changes a second that this controller would like to make in the state service.
 */
data class PeerStatus(
    val member: MemberId,
    val incarnation: Incarnation,
    val knownRevision: Revision,
    val stateServiceAnswerAgeMillis: Long,
    val isLeader: Boolean,
    val shards: List<ShardCapacity>,
    val shardsToRelease: List<ShardName>,
    val machinesToRetire: List<MachineName>,
    val desiredWritesPerSecond: Double,
) {
    /** The machines with the most free CPUs, without their images, as many as fit into about [maxBytes]. */
    fun truncatedTo(maxBytes: Int): PeerStatus {
        val maxMachines = (maxBytes - BYTES_BESIDE_MACHINES) / BYTES_PER_MACHINE
        val chosen = shards
            .flatMap { it.machines }
            .filter { it.usable && it.free.cpus > 0.0 }
            .sortedByDescending { it.free.cpus }
            .take(maxMachines.coerceAtLeast(0))
            .mapTo(HashSet()) { it.name }
        val truncatedShards = shards.map { shard ->
            ShardCapacity(shard.shard, shard.fencingToken, shard.machines.filter { it.name in chosen }.map { it.withoutImages() })
        }
        return copy(shards = truncatedShards, shardsToRelease = emptyList(), machinesToRetire = emptyList())
    }

    /** The same without the capacities, for the controllers that don't lead. */
    fun withoutCapacities() = copy(shards = emptyList())

    private companion object {
        const val BYTES_BESIDE_MACHINES = 400
        const val BYTES_PER_MACHINE = 100
    }
}

/** The cancelled mark of [job] was written with [revision]. */
class Cancellation(val job: JobId, val revision: Revision)
