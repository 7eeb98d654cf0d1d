package copperglade.scheduling

import copperglade.fleet.MachineTypeCatalog
import copperglade.protocol.JobSpec
import copperglade.protocol.ShardName
import java.util.BitSet

/**
 * Selects machines for the unassigned tasks of one job at a time: filters and scores the machines once per job, then packs
 * its tasks onto them in that order.
 */
internal class MachineSelector(private val types: MachineTypeCatalog, private val zoneOf: (ShardName) -> String) {
    /** A machine that could take tasks of a job, with or without preemption, and the [PlacementCost] of a task there. */
    private class ScoredMachine(val capacity: MachineCapacity, val preempts: Boolean, val cost: Double) {
        private var hasTaskOfJob = false

        /** Whether a machine on trial, which has got its task of the job, has room for another job's. */
        fun isKeptFree(spec: JobSpec): Boolean = hasTaskOfJob && capacity.isOnTrial && hasRoom(spec)

        fun fits(spec: JobSpec): Boolean = !(capacity.isOnTrial && hasTaskOfJob) && hasRoom(spec)

        fun allocate(spec: JobSpec) {
            hasTaskOfJob = true
            capacity.allocate(spec)
        }

        private fun hasRoom(spec: JobSpec): Boolean = !capacity.isReserved &&
            if (preempts) capacity.fitsWithPreemption(spec) else spec.request.fitsIn(capacity.free)
    }

    /** Steps through scored machines. Capacity only shrinks during a round, so the cursor never returns to a full machine. */
    private class Cursor(private val machines: List<ScoredMachine>, private val spec: JobSpec, private val zones: ZoneConstraint) {
        private var index = 0

        /** Whether another job with the same spec could get a task where this one can't. */
        val leavesRoomForOtherJobs: Boolean get() = machines.any { it.isKeptFree(spec) }

        fun current(): ScoredMachine? {
            while (index < machines.size && !canTakeTask(machines[index])) index++
            return machines.getOrNull(index)
        }

        private fun canTakeTask(machine: ScoredMachine) = machine.fits(spec) && zones.allows(machine.capacity.machine.zone)
    }

    /**
     * Selects machines for up to [maxTasks] tasks of [job] within the team's quota and the free capacity, and counts these tasks
     * in [usage] and [round]. Where the capacity does not suffice, reserves a machine for the job until the round ends.
     */
    fun select(job: SchedulableJob, usage: TeamUsage, round: RoundCapacity, maxTasks: Int): List<PlacementChoice> {
        val spec = job.spec
        if (!usage.allows(spec.request)) return emptyList()
        val zones = ZoneConstraint(spec, job.assigned.map { zoneOf(it.shard) })
        if (round.isFullFor(spec)) {
            reserveLargestMachine(spec, zones, round)
            return emptyList()
        }
        val assigned = doneOrAssigned(job)
        val machines = Cursor(score(job, zones, round), spec, zones)
        val choices = ArrayList<PlacementChoice>()
        var task = assigned.nextClearBit(0)
        while (task < spec.tasks && choices.size < maxTasks && usage.allows(spec.request)) {
            val machine = machines.current()
            if (machine == null) {
                if (!machines.leavesRoomForOtherJobs) round.markFullFor(spec)
                reserveLargestMachine(spec, zones, round)
                break
            }
            machine.allocate(spec)
            zones.add(machine.capacity.machine.zone)
            usage.addUsed(spec.request)
            choices += PlacementChoice(task, machine.capacity)
            task = assigned.nextClearBit(task + 1)
        }
        return choices
    }

    private fun doneOrAssigned(job: SchedulableJob): BitSet {
        val tasks = job.job.done.clone() as BitSet
        job.assigned.forEach { tasks.set(it.task) }
        return tasks
    }

    /** Reserves the allowed usable machine with the most free CPUs, so that capacity accumulates on it until the task fits. */
    private fun reserveLargestMachine(spec: JobSpec, zones: ZoneConstraint, round: RoundCapacity) {
        var largest: MachineCapacity? = null
        for (capacity in round.machines) {
            if (capacity.isReserved || capacity.isOnTrial || (largest != null && capacity.free.cpus <= largest.free.cpus)) continue
            if (isAllowed(spec, zones, capacity)) largest = capacity
        }
        largest?.isReserved = true
    }

    /** Returns the machines that could take tasks of the job: usable ones first, then the cheapest, then the fullest. */
    private fun score(job: SchedulableJob, zones: ZoneConstraint, round: RoundCapacity): List<ScoredMachine> {
        val spec = job.spec
        val preferredShards = preferredShards(job, round)
        val scored = ArrayList<ScoredMachine>()
        for (capacity in round.machines) {
            if (capacity.isReserved) continue
            val fits = spec.request.fitsIn(capacity.free)
            val preempts = !job.job.failing && !capacity.isOnTrial && capacity.fitsWithPreemption(spec)
            if ((!fits && !preempts) || !isAllowed(spec, zones, capacity)) continue
            val shardCost = if (capacity.shard in preferredShards) 0.0 else FURTHER_SHARD_COST_SECONDS
            if (fits) scored += ScoredMachine(capacity, preempts = false, cost(spec, capacity, preempts = false) + shardCost)
            if (preempts) scored += ScoredMachine(capacity, preempts = true, cost(spec, capacity, preempts = true) + shardCost)
        }
        scored.sortWith(USABLE_THEN_CHEAPEST_THEN_FULLEST)
        return scored
    }

    private fun isAllowed(spec: JobSpec, zones: ZoneConstraint, capacity: MachineCapacity): Boolean {
        val machine = capacity.machine
        return spec.allows(machine.type, machine.zone, machine.spot) && zones.allows(machine.zone)
    }

    /** Returns the shards that the job should stay in: the fewer shards a job uses, the fewer records are written for it. */
    private fun preferredShards(job: SchedulableJob, round: RoundCapacity): Set<ShardName> {
        if (job.assigned.isNotEmpty()) return job.assigned.mapTo(HashSet()) { it.shard }
        val shards = round.shards
        val first = Math.floorMod(job.job.id.hashCode(), shards.size)
        return (0 until SHARDS_OF_NEW_JOB).mapTo(HashSet()) { shards[(first + it) % shards.size] }
    }

    private fun cost(spec: JobSpec, capacity: MachineCapacity, preempts: Boolean): Double {
        val machine = capacity.machine
        return PlacementCost.of(spec, types[machine.type], machine.spot, spec.image.name in machine.images, preempts)
    }

    private companion object {
        /** Each further shard of a job needs records of its own. */
        const val FURTHER_SHARD_COST_SECONDS = 0.4
        const val SHARDS_OF_NEW_JOB = 2

        val USABLE_THEN_CHEAPEST_THEN_FULLEST =
            compareBy<ScoredMachine>({ it.capacity.isOnTrial }, { it.cost }, { it.capacity.free.cpus })
    }
}
