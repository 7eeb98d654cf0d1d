package copperglade.membership

import copperglade.protocol.Incarnation
import copperglade.protocol.MemberId
import copperglade.protocol.MonotonicTime
import copperglade.storage.Replica
import copperglade.storage.ReplicaChanges
import copperglade.storage.ReplicaListener
import copperglade.transport.EventLoop
import kotlin.time.Duration

/**
 * Until when other controllers may have answered workers of shards that were theirs. One that hears from nobody goes on
 * answering for [grace] beyond its session lease ([Membership.mayExtendWorkerLeases]); one that is back under a new incarnation has
 * stopped.
 */
class FormerIncarnations(
    private val loop: EventLoop,
    private val replica: Replica,
    private val others: List<MemberId>,
    private val grace: Duration,
) : ReplicaListener {
    private class Observed(var incarnation: Incarnation?, var stoppedBy: MonotonicTime)

    private val observed = others.associateWithTo(HashMap()) { Observed(null, loop.now() + grace) }

    override fun changed(changes: ReplicaChanges) {
        if (!changes.clusterRecordsChanged) return
        for (other in others) observe(other, changes)
    }

    /**
     * A member that comes back after its former incarnation has surely stopped changes nothing: on a recorded day, the return of
     * one that had been down for a minute and a half held up all the tasks that were missing just then, for a lease.
     */
    private fun observe(other: MemberId, changes: ReplicaChanges) {
        val member = observed.getValue(other)
        val present = replica.members[other]?.value?.incarnation
        val now = loop.now()
        // It may have come and gone between two readings, or while nothing could be read.
        val unseen = changes.reloaded || other in changes.removedMembers
        when {
            present == null -> if (member.incarnation != null || unseen) member.stoppedBy = now + grace
            member.incarnation == null && !unseen -> member.stoppedBy = minOf(member.stoppedBy, now)
            member.incarnation != present -> member.stoppedBy = now
        }
        member.incarnation = present
    }

    /** When the last of them has surely stopped answering under an earlier incarnation. */
    val allStoppedAt: MonotonicTime
        get() = observed.values.maxOfOrNull { it.stoppedBy } ?: MonotonicTime.NEVER
}
