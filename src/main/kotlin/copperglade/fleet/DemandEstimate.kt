package copperglade.fleet

import copperglade.protocol.CloudApiCodec
import copperglade.protocol.Endpoint
import copperglade.protocol.JobKind
import copperglade.protocol.JobSpec
import copperglade.protocol.Json
import copperglade.protocol.ListedMachine
import copperglade.protocol.MachineAvailability
import copperglade.protocol.MachineName
import copperglade.protocol.MachineStatus
import copperglade.protocol.MachineType
import copperglade.protocol.MemberId
import copperglade.protocol.MonotonicTime
import copperglade.protocol.PeerStatus
import copperglade.protocol.ShardName
import copperglade.protocol.TeamName
import copperglade.protocol.secondsSince
import copperglade.settings.Team
import copperglade.storage.Job
import copperglade.storage.Replica
import copperglade.storage.TokenBucket
import copperglade.transport.EventLoop
import copperglade.transport.HttpClient
import copperglade.transport.Method
import copperglade.transport.Request
import org.slf4j.LoggerFactory
import kotlin.math.ceil
import kotlin.math.exp
import kotlin.math.max
import kotlin.math.min
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** CPUs wanted now: by work that needs ordinary machines, and by work that may use spot machines as well. */
class Demand(val ordinary: Double, val flexible: Double) {
    val cpus get() = ordinary + flexible
}

/** How many CPUs the unfinished jobs could use now, within their teams' limits. */
object DemandEstimate {
    private const val SHARE_OF_DEADLINE = 0.8

    fun of(jobs: Collection<Job>, teams: Map<TeamName, Team>): Demand {
        val used = HashMap<TeamName, Double>()
        var ordinary = 0.0
        var flexible = 0.0
        var largestTrial = Demand(0.0, 0.0)
        for (job in jobs.filter { it.live != null }.sortedBy { it.live!!.value.acceptedAtMillis }) {
            val spec = job.spec ?: continue
            if (job.cancelled || job.complete || job.blocked) continue
            if (job.failing) {
                val trial = if (spec.spotAllowed) Demand(0.0, spec.request.cpus) else Demand(spec.request.cpus, 0.0)
                if (trial.cpus > largestTrial.cpus) largestTrial = trial
                continue
            }
            val limit = teams[spec.team]?.cpusMax?.takeIf { it > 0.0 } ?: Double.MAX_VALUE
            val before = used[spec.team] ?: 0.0
            val cpus = min(job.wantedTasks * spec.request.cpus * atOnce(job, spec), max(0.0, limit - before))
            used[spec.team] = before + cpus
            if (spec.spotAllowed) flexible += cpus else ordinary += cpus
        }
        // A failing job is tried on what is there for others; only where nothing else is wanted it gets a machine of its own.
        return Demand(ordinary, flexible).takeIf { it.cpus > 0.0 } ?: largestTrial
    }

    /** CPUs of tasks that could start at once, were there room: not yet assigned, and within their teams' limits. */
    fun backlogCpus(jobs: Collection<Job>, teams: Map<TeamName, Team>): Double {
        val used = HashMap<TeamName, Double>()
        val waiting = HashMap<TeamName, Double>()
        for (job in jobs) {
            val spec = job.spec ?: continue
            val standing = job.assignments().size
            used.merge(spec.team, standing * spec.request.cpus, Double::plus)
            if (job.cancelled || job.complete || job.blocked || job.failing) continue
            waiting.merge(spec.team, (job.wantedTasks - standing) * spec.request.cpus, Double::plus)
        }
        return waiting.entries.sumOf { (team, cpus) ->
            val limit = teams[team]?.cpusMax?.takeIf { it > 0.0 } ?: Double.MAX_VALUE
            min(cpus, max(0.0, limit - (used[team] ?: 0.0)))
        }
    }

    /**
     * The part of a job's tasks that must run at the same time for a job that starts at once to be in time. A job
     * that has waited gets no more than that: by the time that further machines are up, others have finished.
     */
    fun atOnce(job: Job, spec: JobSpec): Double {
        if (spec.kind != JobKind.ARRAY) return 1.0
        val dueInSeconds = job.deadline?.dueInSeconds(1.0, job.startableSinceMillis)
        val time = (dueInSeconds ?: (spec.estimatedSeconds * 2)) * SHARE_OF_DEADLINE
        return if (time <= spec.estimatedSeconds) 1.0 else spec.estimatedSeconds / time
    }
}
