package copperglade.jobs

import copperglade.fleet.MachineTypeCatalog
import copperglade.protocol.JobKind
import copperglade.protocol.JobSpec
import copperglade.protocol.TeamName
import copperglade.settings.Team
import copperglade.storage.LiveRecord
import copperglade.storage.RecordCodec
import copperglade.storage.StateLimits
import copperglade.transport.EventLoop
import copperglade.transport.Reply

/** Decides whether a well-formed job could ever run on this cluster, and whether its record fits into the state service. */
internal class AdmissionCheck(
    private val loop: EventLoop,
    private val types: MachineTypeCatalog,
    private val teams: Map<TeamName, Team>,
    private val limits: StateLimits,
) {
    /** Returns the error reply for a job that could never run or be stored; null if the job may be accepted. */
    fun refusalOf(spec: JobSpec): Reply? {
        val problem = unsatisfiableReason(spec)
        return when {
            problem != null -> JobReplies.unprocessable(problem)
            !limits.canStore(LiveRecord(spec, loop.wallMillis(), cancelled = false)) -> JobReplies.tooLarge("body")
            else -> null
        }
    }

    private fun unsatisfiableReason(spec: JobSpec): String? {
        val team = teams[spec.team] ?: return "crew: unknown team"
        val fitsSomeMachine = types.all.any { type ->
            spec.request.fitsIn(type.capacity) && type.zones.any { spec.allows(type.name, it, spot = false) }
        }
        if (!fitsSomeMachine) return "vcpus, gpus, memoryGb, fleets, depot: no machine type fits a task"
        val requestAtOnce = spec.request * if (spec.kind == JobKind.ARRAY) 1 else spec.tasks
        return if (team.isWithinLimit(requestAtOnce.cpus, requestAtOnce.gpus)) null else "crew: more than the team's limit"
    }
}

/** Whether [record] fits into a stored value, also with the cancelled mark. */
internal fun StateLimits.canStore(record: LiveRecord): Boolean = RecordCodec.encode(record.withCancelledMark()).size <= valueBytes
