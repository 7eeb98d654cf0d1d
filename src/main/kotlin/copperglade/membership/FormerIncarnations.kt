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
 * Tracks until when former incarnations of the other controllers may have extended leases of workers in their former shards.
 *
 * A controller that neither the state service nor any peer answers extends worker leases for [gracePeriod] beyond the end of its session
 * lease ([Membership.mayExtendWorkerLeases]). A controller that has registered under a new incarnation has stopped doing so under the
 * old one.
 */
class FormerIncarnations(
    private val loop: EventLoop,
    private val replica: Replica,
    private val others: List<MemberId>,
    private val gracePeriod: Duration,
) : ReplicaListener {
    /**
     * @property incarnation the registered incarnation; null while the controller is not a member.
     * @property stoppedAt when all earlier incarnations have certainly stopped extending worker leases.
     */
    private class ObservedMember(var incarnation: Incarnation?, var stoppedAt: MonotonicTime)

    private val observedMembers = others.associateWithTo(HashMap()) { ObservedMember(null, loop.now() + gracePeriod) }

    override fun changed(changes: ReplicaChanges) {
        if (!changes.clusterRecordsChanged) return
        for (other in others) observe(other, changes)
    }

    /**
     * A member that registers again after its former incarnation has certainly stopped doesn't move [ObservedMember.stoppedAt]:
     * otherwise missing tasks would wait for another worker lease.
     */
    private fun observe(other: MemberId, changes: ReplicaChanges) {
        val member = observedMembers.getValue(other)
        val present = replica.members[other]?.value?.incarnation
        val now = loop.now()
        // The member may have registered and expired between two reads, or while the state service was unreachable.
        val mayHaveMissedIncarnation = changes.reloaded || other in changes.removedMembers
        when {
            present == null -> if (member.incarnation != null || mayHaveMissedIncarnation) member.stoppedAt = now + gracePeriod
            member.incarnation == null && !mayHaveMissedIncarnation -> member.stoppedAt = minOf(member.stoppedAt, now)
            member.incarnation != present -> member.stoppedAt = now
        }
        member.incarnation = present
    }

    /** When all former incarnations of the other controllers have certainly stopped extending worker leases. */
    val allStoppedAt: MonotonicTime
        get() = observedMembers.values.maxOfOrNull { it.stoppedAt } ?: MonotonicTime.NEVER
}
