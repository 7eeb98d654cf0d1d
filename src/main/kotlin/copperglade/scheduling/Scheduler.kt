package copperglade.scheduling

import copperglade.fleet.MachineTypeCatalog
import copperglade.membership.Leadership
import copperglade.protocol.JobKind
import copperglade.protocol.MonotonicTime
import copperglade.protocol.TeamName
import copperglade.storage.Job
import copperglade.storage.Keys
import copperglade.storage.Replica
import copperglade.storage.StateClient
import copperglade.storage.TaskRange
import copperglade.transport.EventLoop
import org.slf4j.LoggerFactory
import java.util.BitSet
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Runs the leader's scheduling rounds. Each round assigns waiting tasks to shards with free capacity, within the quotas of the
 * teams, and writes the assignments to the state service before any shard owner may start the tasks.
 *
 * A full round considers all jobs at the end of a batch window. Urgent rounds in between consider jobs of high priority only.
 *
 * Invariant: an assigned task counts against its team's quota until the task's records show that no machine can still run it.
 */
class Scheduler(
    private val loop: EventLoop,
    private val store: StateClient,
    private val replica: Replica,
    leadership: Leadership,
    private val capacityTable: CapacityTable,
    types: MachineTypeCatalog,
    private val policy: SchedulingPolicy,
) {
    private val writer = AssignmentWriter(loop, store, replica, leadership, capacityTable)
    private val selector = MachineSelector(types, capacityTable::zoneOf)
    private val guaranteePreemption = GuaranteePreemption(policy.teams)

    private var nextFullRoundAt = MonotonicTime.NEVER
    private var nextUrgentRoundAt = MonotonicTime.NEVER
    private var lastGuaranteeCheckAt = MonotonicTime.NEVER

    /** Runs a scheduling round if one is due. Only the leader may call this function, and must do so periodically. */
    fun round() {
        writer.beginRound()
        val now = loop.now()
        val isFullRound = now >= nextFullRoundAt
        if (!isFullRound && (now < nextUrgentRoundAt || replica.jobs.values.none(::isUrgentAndWaiting))) return
        val usages = policy.teams.mapValues { TeamUsage(it.value) }
        val jobs = schedulableJobs(usages)
        val waiting = jobs.filter { isWaiting(it) && (isFullRound || it.isUrgent) }
        if (waiting.isEmpty()) return
        openBatchWindows(now, isFullRound)
        val capacity = RoundCapacity(capacityTable.capacities().filter { it.machine.usable || it.machine.onTrial })
        if (capacity.machines.isEmpty()) return
        val plan = AssignmentPlan()
        val queue = JobQueue(policy, loop.wallMillis())
        planAssignments(queue.order(waiting, capacity.poolCpus), usages, capacity, plan)
        if (isFullRound && now >= lastGuaranteeCheckAt + GUARANTEE_PREEMPTION_INTERVAL) {
            lastGuaranteeCheckAt = now
            planGuaranteePreemptions(jobs, queue, usages, plan)
        }
        writer.write(plan)
    }

    /**
     * Sets when the next rounds are due. The scarcer the write budget, the longer the batch windows, and the more assignments
     * go into each write. Urgent jobs have a window too: one write for each job of a burst would use up the whole budget.
     */
    private fun openBatchWindows(now: MonotonicTime, isFullRound: Boolean) {
        nextUrgentRoundAt = now + MAX_URGENT_BATCH_WINDOW * (1.0 - store.writeBudgetLevel())
        if (isFullRound) nextFullRoundAt = now + MIN_BATCH_WINDOW + EXTRA_BATCH_WINDOW * (1.0 - store.writeBudgetLevel())
    }

    private fun isUrgentAndWaiting(job: Job): Boolean {
        val spec = job.spec ?: return false
        if (!spec.isUrgent || job.cancelled || job.blocked || writer.hasUnresolvedTasks(job.id)) return false
        return job.assignments().size < job.wantedTasks
    }

    private fun isWaiting(job: SchedulableJob): Boolean =
        !writer.hasUnresolvedTasks(job.job.id) && !job.job.cancelled && !job.job.complete && job.unassignedTasks > 0

    /**
     * Returns all jobs that are accepted and not blocked, in order of acceptance, and counts the resources that these jobs use
     * and request in [usages].
     */
    private fun schedulableJobs(usages: Map<TeamName, TeamUsage>): List<SchedulableJob> {
        val schedulable = ArrayList<SchedulableJob>()
        val accepted = replica.jobs.values
            .filter { it.live != null }
            .sortedBy { it.live?.value?.acceptedAtMillis }
        for (job in accepted) {
            val record = job.live?.value ?: continue
            val spec = job.spec ?: continue
            if (job.blocked) continue
            val assigned = job.assignments()
            val usage = usages[spec.team] ?: continue
            usage.addUsed(spec.request * (assigned.size + writer.unresolvedTasks(job.id)))
            val isActive = !job.complete && !job.cancelled
            val isGuaranteed = isActive && usage.addRequested(spec.request * job.wantedTasks) && !job.failing
            schedulable += SchedulableJob(job, spec, record.acceptedAtMillis, assigned, isGuaranteed)
        }
        return schedulable
    }

    private fun planAssignments(
        ordered: List<QueuedJob>,
        usages: Map<TeamName, TeamUsage>,
        capacity: RoundCapacity,
        plan: AssignmentPlan,
    ) {
        for (queued in ordered) {
            val job = queued.job
            val usage = usages[job.spec.team] ?: continue
            val choices = selector.select(job, usage, capacity, minOf(queued.maxTasks, job.unassignedTasks))
            for ((range, chosen) in choices.groupBy { it.task / Keys.TASKS_PER_RANGE }) {
                if (writer.isReady(job.job, range)) plan.choices[TaskRange(job.job.id, range)] = chosen
            }
        }
    }

    /** Plans to preempt tasks of teams beyond their guarantees where tasks within a team's guarantee have waited for capacity. */
    private fun planGuaranteePreemptions(
        jobs: List<SchedulableJob>,
        queue: JobQueue,
        usages: Map<TeamName, TeamUsage>,
        plan: AssignmentPlan,
    ) {
        val planned = plan.choices.keys.mapTo(HashSet()) { it.job }
        val claims = jobs
            .filter {
                it.isGuaranteed && isWaiting(it) && it.job.id !in planned &&
                    queue.waitedSeconds(it) >= GUARANTEE_PREEMPTION_AFTER_SECONDS
            }.map { GuaranteeClaim(it.spec.team, it.spec.request, it.unassignedTasks) }
        if (claims.isEmpty()) return
        val borrowedQuotas = jobs
            .filter {
                !it.isGuaranteed && it.spec.kind == JobKind.ARRAY && !writer.hasUnresolvedTasks(it.job.id) && it.job.id !in planned
            }.map { BorrowedQuota(it.job, it.spec, it.assigned) }
        val usedCpus = usages.mapValues { it.value.used.cpus }
        for ((job, assignments) in guaranteePreemption.choose(claims, borrowedQuotas, usedCpus)) {
            for ((range, inRange) in assignments.groupBy { it.task / Keys.TASKS_PER_RANGE }) {
                if (!writer.isReady(job, range)) continue
                plan.guaranteePreemptions[TaskRange(job.id, range)] = BitSet().apply { inRange.forEach { set(it.task) } }
            }
            log.info("guarantee_preemption_planned job={} tasks={}", job.id, assignments.size)
        }
    }

    private companion object {
        val MAX_URGENT_BATCH_WINDOW = 500.milliseconds
        val MIN_BATCH_WINDOW = 150.milliseconds

        /** The extension of the batch window when the write budget is used up. */
        val EXTRA_BATCH_WINDOW = 1000.milliseconds
        val GUARANTEE_PREEMPTION_INTERVAL = 1.seconds
        const val GUARANTEE_PREEMPTION_AFTER_SECONDS = 3.0
        val log = LoggerFactory.getLogger("scheduling")
    }
}
