package copperglade.coordination

import copperglade.protocol.Incarnation
import copperglade.protocol.MemberId
import copperglade.protocol.Moment
import copperglade.storage.Replica
import copperglade.storage.ReplicaListener
import copperglade.storage.Touched
import copperglade.transport.EventLoop
import kotlin.time.Duration

/**
 * Until when other controllers may have answered workers of blocks that were theirs. One that hears from nobody goes on
 * answering for [grace] beyond its session lease ([Membership.mayKeep]); one that is back under a new incarnation has
 * stopped.
 */
class AbsentOwners(
    private val loop: EventLoop,
    private val replica: Replica,
    private val others: List<MemberId>,
    private val grace: Duration,
) : ReplicaListener {
    private class ObservedIncarnation(val incarnation: Incarnation?, val since: Moment)

    private val observed = others.associateWithTo(HashMap()) { ObservedIncarnation(null, loop.now()) }

    override fun changed(touched: Touched) {
        if (!touched.standing) return
        for (other in others) {
            val present = replica.members[other]?.value?.incarnation
            if (observed.getValue(other).incarnation != present) observed[other] = ObservedIncarnation(present, loop.now())
        }
    }

    /** When the last of them has surely stopped answering under an earlier incarnation. */
    val over: Moment
        get() = observed.values.maxOfOrNull { if (it.incarnation == null) it.since + grace else it.since } ?: Moment.NEVER
}
