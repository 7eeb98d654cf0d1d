package copperglade.jobs

import copperglade.protocol.JobId
import copperglade.protocol.JobKind
import copperglade.storage.CatchUpOutcome
import copperglade.storage.DependencyOutcome
import copperglade.storage.ReadOutcome
import copperglade.storage.Replica

/** What a submission's dependencies turned out to be. */
internal sealed interface DependencyResolution {
    /** All were accepted once: [open] are not done yet; [aborted] tells whether one was cancelled. */
    class Accepted(val open: List<JobId>, val aborted: Boolean) : DependencyResolution

    /** [id] was never accepted, or can never be done; [problem] is told to the user. */
    class Impossible(val id: JobId, val problem: String) : DependencyResolution

    /** The state service didn't tell in time. */
    data object Unavailable : DependencyResolution
}

/**
 * Finds out whether the jobs that a submission names were ever accepted, and what became of them.
 *
 * What the replica doesn't have is looked for in a reading asked for now, and only then among the end records. A job moves
 * from live to ended in one transaction, so in this order it can't be missed in between, and a job found in neither was
 * never accepted.
 */
internal class DependencyResolver(private val replica: Replica) {
    /** Calls [onResolved] once, now or later. */
    fun resolve(dependencies: List<JobId>, onResolved: (DependencyResolution) -> Unit) {
        if (dependencies.all(::isKnown)) return onResolved(judge(dependencies))
        replica.catchUp { outcome ->
            when (outcome) {
                CatchUpOutcome.Current -> readEnds(dependencies, onResolved)
                CatchUpOutcome.Unavailable -> onResolved(DependencyResolution.Unavailable)
            }
        }
    }

    private fun isKnown(id: JobId): Boolean = replica.dependencies.outcomeOf(id) != DependencyOutcome.UNKNOWN

    private fun readEnds(dependencies: List<JobId>, onResolved: (DependencyResolution) -> Unit) {
        val unknown = dependencies.filterNot(::isKnown)
        if (unknown.isEmpty()) return onResolved(judge(dependencies))
        val lookUp = EndLookUp(dependencies, unknown.size, onResolved)
        unknown.forEach { id -> replica.readEndRecord(id) { lookUp.onRead(id, it) } }
    }

    /** Waits for the end records of [remaining] dependencies. */
    private inner class EndLookUp(
        private val dependencies: List<JobId>,
        private var remaining: Int,
        private val onResolved: (DependencyResolution) -> Unit,
    ) {
        private var unavailable = false
        private var neverAccepted: JobId? = null

        fun onRead(id: JobId, outcome: ReadOutcome) {
            when (outcome) {
                is ReadOutcome.Present -> Unit
                ReadOutcome.Absent -> neverAccepted = id
                ReadOutcome.Failed -> unavailable = true
            }
            remaining--
            if (remaining == 0) onResolved(resolution())
        }

        private fun resolution(): DependencyResolution {
            val missing = neverAccepted
            return when {
                unavailable -> DependencyResolution.Unavailable
                missing != null -> DependencyResolution.Impossible(missing, "never accepted")
                else -> judge(dependencies)
            }
        }
    }

    private fun judge(dependencies: List<JobId>): DependencyResolution {
        val service = dependencies.firstOrNull { replica.jobs[it]?.spec?.kind == JobKind.SERVICE }
        if (service != null) return DependencyResolution.Impossible(service, "a service, which is never done")
        val outcomes = dependencies.associateWith { replica.dependencies.outcomeOf(it) }
        if (outcomes.values.any { it == DependencyOutcome.UNKNOWN }) return DependencyResolution.Unavailable
        val open = dependencies.filter { outcomes[it] != DependencyOutcome.DONE }
        return DependencyResolution.Accepted(open, aborted = outcomes.values.any { it == DependencyOutcome.ABORTED })
    }
}
