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
 * Until when other controllers may have extended the leases of workers in shards that were theirs. One that hears from nobody goes on
 * for [gracePeriod] beyond its session lease ([Membership.mayExtendWorkerLeases]); one that is back under a new incarnation has stopped.
 */
class FormerIncarnations(
    private val loop: EventLoop,
    private val replica: Replica,
    private val others: List<MemberId>,
    private val gracePeriod: Duration,
) : ReplicaListener {
    /**
     * @property incarnation the present one, or null.
     * @property stoppedAt when all earlier incarnations have certainly stopped extending leases.
     */
    private class ObservedMember(var incarnation: Incarnation?, var stoppedAt: MonotonicTime)

    private val observedMembers = others.associateWithTo(HashMap()) { ObservedMember(null, loop.now() + gracePeriod) }

    override fun changed(changes: ReplicaChanges) {
        if (!changes.clusterRecordsChanged) return
        for (other in others) observe(other, changes)
    }

    /**
     * The return of a member after its former incarnation has certainly stopped changes nothing: else missing tasks would wait for a
     * further worker lease.
     */
    private fun observe(other: MemberId, changes: ReplicaChanges) {
        val member = observedMembers.getValue(other)
        val present = replica.members[other]?.value?.incarnation
        val now = loop.now()
        // It may have come and gone between two readings, or while nothing could be read.
        val mayHaveMissedIncarnation = changes.reloaded || other in changes.removedMembers
        when {
            present == null -> if (member.incarnation != null || mayHaveMissedIncarnation) member.stoppedAt = now + gracePeriod
            member.incarnation == null && !mayHaveMissedIncarnation -> member.stoppedAt = minOf(member.stoppedAt, now)
            member.incarnation != present -> member.stoppedAt = now
        }
        member.incarnation = present
    }

    /** When the last of the former incarnations has certainly stopped extending leases. */
    val allStoppedAt: MonotonicTime
        get() = observedMembers.values.maxOfOrNull { it.stoppedAt } ?: MonotonicTime.NEVER
}
