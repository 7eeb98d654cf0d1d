package copperglade.storage

import copperglade.protocol.JobId
import copperglade.protocol.MemberId

/** What one round of changes has changed in a [Replica]. */
class ReplicaChanges {
    val jobs = HashSet<JobId>()

    /** Whether a shard's, a member's or the leader's record has changed. */
    var clusterRecordsChanged = false

    /** Members whose records were deleted, though they may have been written again in the same round. */
    val removedMembers = HashSet<MemberId>()

    /** Whether all records were loaded again: what was written and deleted since the last round isn't known. */
    var reloaded = false

    /** Encoded peer statuses that came through the state service. */
    val peerStatuses = ArrayList<ByteArray>()
}

/** Called after each round of changes, on the event loop. */
fun interface ReplicaListener {
    fun changed(changes: ReplicaChanges)
}
