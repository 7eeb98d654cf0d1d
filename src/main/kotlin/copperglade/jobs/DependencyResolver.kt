package copperglade.jobs

import copperglade.protocol.JobId
import copperglade.protocol.JobKind
import copperglade.storage.CatchUpOutcome
import copperglade.storage.DependencyOutcome
import copperglade.storage.ReadOutcome
import copperglade.storage.Replica

/** What a submission's dependencies turned out to be. */
sealed interface Resolution {
    /** All were accepted once: [open] are not done yet; [aborted] tells whether one was cancelled. */
    class Accepted(val open: List<JobId>, val aborted: Boolean) : Resolution

    /** [id] was never accepted, or can never be done. */
    class Impossible(val id: JobId, val why: String) : Resolution

    /** The state service didn't tell in time. */
    data object Unavailable : Resolution
}

/**
 * Finds out whether the jobs that a submission names were ever accepted, and what became of them.
 *
 * What the replica doesn't have is looked for in a reading asked for now, and only then among the end records. A job moves
 * from live to ended in one transaction, so in this order it can't be missed in between, and a job found in neither was
 * never accepted.
 */
class DependencyResolver(private val replica: Replica) {
    fun resolve(names: List<JobId>, done: (Resolution) -> Unit) {
        if (names.all(::isKnown)) return done(judge(names))
        replica.catchUp { outcome ->
            when (outcome) {
                CatchUpOutcome.Current -> lookUp(names, done)
                CatchUpOutcome.Unavailable -> done(Resolution.Unavailable)
            }
        }
    }

    private fun isKnown(id: JobId): Boolean = replica.dependencies.outcomeOf(id) != DependencyOutcome.UNKNOWN

    private fun lookUp(names: List<JobId>, done: (Resolution) -> Unit) {
        val missing = names.filterNot(::isKnown)
        if (missing.isEmpty()) return done(judge(names))
        var left = missing.size
        var unavailable = false
        var neverAccepted: JobId? = null
        for (id in missing) {
            replica.readEnd(id) { outcome ->
                when (outcome) {
                    is ReadOutcome.Present -> {}
                    ReadOutcome.Absent -> neverAccepted = id
                    ReadOutcome.Failed -> unavailable = true
                }
                if (--left > 0) return@readEnd
                val unknown = neverAccepted
                done(
                    when {
                        unavailable -> Resolution.Unavailable
                        unknown != null -> Resolution.Impossible(unknown, "never accepted")
                        else -> judge(names)
                    },
                )
            }
        }
    }

    private fun judge(names: List<JobId>): Resolution {
        val service = names.firstOrNull { replica.jobs[it]?.spec?.kind == JobKind.SERVICE }
        if (service != null) return Resolution.Impossible(service, "a service, which is never done")
        val outcomes = names.associateWith { replica.dependencies.outcomeOf(it) }
        if (outcomes.values.any { it == DependencyOutcome.UNKNOWN }) return Resolution.Unavailable
        val open = names.filter { outcomes[it] != DependencyOutcome.DONE }
        return Resolution.Accepted(open, aborted = outcomes.values.any { it == DependencyOutcome.ABORTED })
    }
}
