package copperglade.placement

import copperglade.protocol.JobKind
import copperglade.protocol.Priority
import copperglade.protocol.Resources
import copperglade.scheduling.PreemptibleCapacity
import copperglade.tasks.Run

/** Whether this run may be preempted by tasks of higher priority. */
internal val Run.isPreemptible: Boolean get() = occupiesMachine && spec.kind == JobKind.ARRAY

/** Returns the resources that preempting the preemptible ones of these runs would free. */
internal fun Collection<Run>.preemptibleCapacity(): PreemptibleCapacity {
    val byPriority = Array(Priority.entries.size) { Resources.ZERO }
    for (run in this) if (run.isPreemptible) byPriority[run.spec.priority.ordinal] += run.spec.request
    return PreemptibleCapacity(byPriority.asList())
}
