package copperglade.scheduling

import copperglade.protocol.JobSpec
import copperglade.protocol.ShardName

/** The machines of one scheduling round that are usable or on trial. Their capacity only shrinks until the round ends. */
internal class RoundCapacity(val machines: List<MachineCapacity>) {
    val shards: List<ShardName> = machines.mapTo(LinkedHashSet()) { it.shard }.toList()

    /** CPUs that are free or could be freed by preemption; at least 1. */
    val poolCpus: Double
        get() = machines
            .sumOf { capacity -> capacity.machine.free.cpus + capacity.machine.preemptible.sumOf { it.cpus } }
            .coerceAtLeast(1.0)

    /**
     * The specs of jobs whose tasks fit on no machine any more. In an overload hundreds of jobs request the same resources, so
     * one check serves all of these jobs.
     */
    private val unplaceableSpecs = ArrayList<JobSpec>()

    /** Records that no machine can take another task of [spec] in this round. */
    fun markFullFor(spec: JobSpec) {
        if (!spec.oneZone && !spec.spread && unplaceableSpecs.size < MAX_UNPLACEABLE_SPECS) unplaceableSpecs += spec
    }

    /**
     * Returns whether this round has no machine for a task of [spec]: [markFullFor] was called for a spec that requests no more, has
     * no lower priority and may run wherever [spec] may.
     */
    fun isFullFor(spec: JobSpec): Boolean = unplaceableSpecs.any { it.isNoHarderToPlaceThan(spec) }

    private fun JobSpec.isNoHarderToPlaceThan(other: JobSpec): Boolean =
        request.fitsIn(other.request) &&
            priority <= other.priority &&
            (spotAllowed || !other.spotAllowed) &&
            (types == null || types == other.types) &&
            (zone == null || zone == other.zone)

    private companion object {
        const val MAX_UNPLACEABLE_SPECS = 16
    }
}
