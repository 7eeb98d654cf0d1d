package copperglade.jobs

import copperglade.protocol.JobId
import copperglade.protocol.JobKind
import copperglade.storage.CatchUpOutcome
import copperglade.storage.DependencyOutcome
import copperglade.storage.ReadOutcome
import copperglade.storage.Replica

/** The outcome of resolving a submission's dependencies. */
internal sealed interface DependencyResolution {
    /** All dependencies were accepted as jobs: [open] are not done yet; [anyAborted] is true if at least one was cancelled. */
    class Accepted(val open: List<JobId>, val anyAborted: Boolean) : DependencyResolution

    /** [id] was never accepted, or can never be done; [problem] is part of the reply to the user. */
    class Unsatisfiable(val id: JobId, val problem: String) : DependencyResolution

    /** The current records could not be read in time. */
    data object Unavailable : DependencyResolution
}

/**
 * Determines whether the jobs that a submission depends on were ever accepted, and whether they are done or cancelled.
 *
 * A job that the replica doesn't contain is looked up in a read that is requested now, and only then among the end records. A job moves
 * from its live record to its end record in one transaction, so in this order the lookups can't miss it, and a job that neither finds
 * was never accepted.
 */
internal class DependencyResolver(private val replica: Replica) {
    /** Calls [onResolved] exactly once, during this call or later. */
    fun resolve(dependencies: List<JobId>, onResolved: (DependencyResolution) -> Unit) {
        if (dependencies.all(::isKnown)) return onResolved(classify(dependencies))
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
        if (unknown.isEmpty()) return onResolved(classify(dependencies))
        val lookUp = EndLookUp(dependencies, unknown.size, onResolved)
        unknown.forEach { id -> replica.readEndRecord(id) { lookUp.onRead(id, it) } }
    }

    /** Collects the reads of the end records of [remaining] dependencies. */
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
                missing != null -> DependencyResolution.Unsatisfiable(missing, "never accepted")
                else -> classify(dependencies)
            }
        }
    }

    private fun classify(dependencies: List<JobId>): DependencyResolution {
        val service = dependencies.firstOrNull { replica.jobs[it]?.spec?.kind == JobKind.SERVICE }
        if (service != null) return DependencyResolution.Unsatisfiable(service, "a service, which is never done")
        val outcomes = dependencies.associateWith { replica.dependencies.outcomeOf(it) }
        if (outcomes.values.any { it == DependencyOutcome.UNKNOWN }) return DependencyResolution.Unavailable
        val open = dependencies.filter { outcomes[it] != DependencyOutcome.DONE }
        return DependencyResolution.Accepted(open, anyAborted = outcomes.values.any { it == DependencyOutcome.ABORTED })
    }
}
