package copperglade.protocol

/**
 * The capacity of one machine, as reported by the shard owner.
 *
 * @property usable false where no further task should be started, such as on a machine that the cloud is about to reclaim.
 * @property onTrial whether the machine, which is not usable, may get one task of each job that fits on no usable machine.
 * @property worthKeeping false where the machine should be replaced.
 * @property idleMillis the time since the last task left the machine; 0 while the machine has tasks.
 * @property preemptible by priority, the capacity that stopping the tasks of that priority would free.
 */
data class MachineAvailability(
    val name: MachineName,
    val type: String,
    val zone: String,
    val spot: Boolean,
    val usable: Boolean,
    val onTrial: Boolean,
    val worthKeeping: Boolean,
    val idleMillis: Long,
    val free: Resources,
    val preemptible: List<Resources>,
    val images: List<ImageName>,
) {
    /** A copy without images, which a truncated status omits. */
    fun withoutImages() = copy(images = emptyList())
}

/** The capacity of a shard's machines, with the fencing token of the shard owner that reports the capacity. */
class ShardCapacity(val shard: ShardName, val fencingToken: FencingToken, val machines: List<MachineAvailability>)

/**
 * The status that a controller sends to the others several times a second. A status is a hint: a controller that acts on a status
 * verifies the hint against the state service, and no decision relies on receiving a status.
 *
 * @property knownRevision the revision of the state service up to which the status includes all changes.
 * @property stateServiceAnswerAgeMillis the time since the state service last answered this controller.
 * @property shardsToRelease from the leader: shards that the current owners should release, so that another controller takes over.
 * @property machinesToRetire from the leader: machines that are no longer needed.
 * @property desiredWritesPerSecond the rate at which this controller would write to the state service without a limit.
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
    /**
     * A copy with the machines that have the most free CPUs, as many as fit into about [maxBytes], without their images and without the
     * leader's requests.
     */
    fun truncatedTo(maxBytes: Int): PeerStatus {
        val maxMachines = (maxBytes - BYTES_BESIDE_MACHINES) / BYTES_PER_MACHINE
        val chosen = shards
            .flatMap { it.machines }
            .filter { (it.usable || it.onTrial) && it.free.cpus > 0.0 }
            .sortedByDescending { it.free.cpus }
            .take(maxMachines.coerceAtLeast(0))
            .mapTo(HashSet()) { it.name }
        val truncatedShards = shards.map { shard ->
            ShardCapacity(shard.shard, shard.fencingToken, shard.machines.filter { it.name in chosen }.map { it.withoutImages() })
        }
        return copy(shards = truncatedShards, shardsToRelease = emptyList(), machinesToRetire = emptyList())
    }

    /** A copy without capacities, for the controllers that are not the leader. */
    fun withoutCapacities() = copy(shards = emptyList())

    private companion object {
        const val BYTES_BESIDE_MACHINES = 400
        const val BYTES_PER_MACHINE = 100
    }
}

/** The cancellation of [job], whose cancelled mark was written with [revision]. */
class Cancellation(val job: JobId, val revision: Revision)
