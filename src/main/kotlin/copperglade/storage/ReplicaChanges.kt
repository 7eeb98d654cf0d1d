package copperglade.storage

import copperglade.protocol.JobId
import copperglade.protocol.MemberId

/** The effects of one round of changes on a [Replica]. */
class ReplicaChanges {
    val jobs = HashSet<JobId>()

    /** Whether a shard's, a member's or the leader's record has changed. */
    var clusterRecordsChanged = false

    /** Members whose records were deleted; a deleted record may have been written again in the same round. */
    val removedMembers = HashSet<MemberId>()

    /** Whether all records were reloaded. The individual writes and deletions since the last round are then unknown. */
    var reloaded = false

    /** Encoded peer statuses received through the state service. */
    val peerStatuses = ArrayList<ByteArray>()
}

/** Called after each round of changes, on the event loop. */
fun interface ReplicaListener {
    fun changed(changes: ReplicaChanges)
}
