package copperglade.storage

import copperglade.protocol.Decoding
import copperglade.protocol.JobId
import copperglade.protocol.MemberId
import copperglade.protocol.Revision
import copperglade.protocol.ShardName

/** Called for each end record that a change brings. */
internal fun interface EndRecordListener {
    fun ended(id: JobId, record: EncodedRecord, changes: ReplicaChanges)
}

/**
 * The live records, and how changes are applied to them. Changes may come in any order and more than once, from the watch, from reads
 * and from this controller's own transactions: the one with the highest revision of a key wins.
 */
internal class RecordTable(private val onEnded: EndRecordListener) {
    val jobs = JobTable()
    private val packedRecords = PackedRecordTable(jobs)
    val packedRecordsByKey: Map<String, PackedRecord> get() = packedRecords.byKey
    val shards = HashMap<ShardName, StoredRecord<ShardRecord>>()
    val members = HashMap<MemberId, StoredRecord<MemberRecord>>()
    val images = HashMap<ShardName, StoredRecord<ImageRecord>>()
    var leader: StoredRecord<LeaderRecord>? = null
        private set

    /** All changes up to this revision are known. */
    var knownRevision = Revision.ABSENT
        private set

    /** Revisions of deletions after [knownRevision]: a late change must not bring the deleted record back. */
    private val deletions = HashMap<String, Revision>()

    fun clear() {
        jobs.clear()
        shards.clear()
        members.clear()
        images.clear()
        packedRecords.clear()
        leader = null
        deletions.clear()
    }

    /** All records of a listing that began at [revision] have been put. */
    fun loadedAt(revision: Revision) {
        knownRevision = revision
    }

    /** Applies the changes of a read that began at an earlier [knownRevision]. */
    fun apply(read: ChangesOutcome.Received, changes: ReplicaChanges) {
        for (change in read.changes) {
            // Known already: the answer to a read from before a reload must not bring back what has been deleted since.
            if (change.revision <= knownRevision) continue
            when (change) {
                is Change.Set -> put(change.key, change.value, change.revision, changes)
                is Change.Deleted -> delete(change.key, change.revision, changes)
            }
        }
        if (read.storeRevision > knownRevision) knownRevision = read.storeRevision
        deletions.values.removeIf { it <= knownRevision }
    }

    /** Applies a record that was written with [revision]. A malformed record counts as not written. */
    fun put(key: String, record: EncodedRecord, revision: Revision, changes: ReplicaChanges) {
        if (deletions[key]?.let { it >= revision } == true) return
        when (val parsed = decoded { Keys.parse(key) }) {
            null -> return
            is ParsedKey.Live -> putLive(parsed.job, record, revision, changes)
            ParsedKey.Assignments -> packedRecords.put(key, record, revision, AssignmentEntries, changes)
            is ParsedKey.Outcomes -> packedRecords.put(key, record, revision, OutcomeEntries(parsed.shard), changes)
            is ParsedKey.Ended -> onEnded.ended(parsed.job, record, changes)
            is ParsedKey.Shard -> if (isNewer(revision, shards[parsed.name])) {
                changes.clusterRecordsChanged = true
                decoded { record.shard() }?.let { shards[parsed.name] = StoredRecord(it, revision) }
            }
            is ParsedKey.Member -> if (isNewer(revision, members[parsed.id])) {
                changes.clusterRecordsChanged = true
                decoded { record.member() }?.let { members[parsed.id] = StoredRecord(it, revision) }
            }
            is ParsedKey.Images -> if (isNewer(revision, images[parsed.shard])) {
                decoded { record.images() }?.let { images[parsed.shard] = StoredRecord(it, revision) }
            }
            is ParsedKey.PeerStatus -> decoded { record.peerStatus() }?.let { changes.peerStatuses += it }
            ParsedKey.Leader -> if (isNewer(revision, leader)) {
                changes.clusterRecordsChanged = true
                decoded { record.leader() }?.let { leader = StoredRecord(it, revision) }
            }
        }
    }

    private fun putLive(id: JobId, record: EncodedRecord, revision: Revision, changes: ReplicaChanges) {
        val job = jobs.getOrCreate(id, changes)
        if (revision > job.liveRevision()) decoded { record.live() }?.let { job.live = StoredRecord(it, revision) }
    }

    /** Applies the deletion of a record with [revision]. */
    fun delete(key: String, revision: Revision, changes: ReplicaChanges) {
        if (revision > knownRevision) deletions[key] = revision
        when (val parsed = decoded { Keys.parse(key) }) {
            null, is ParsedKey.Ended, is ParsedKey.PeerStatus -> return
            is ParsedKey.Live -> jobs.edit(parsed.job, changes) { if (isOlder(it.live, revision)) it.live = null }
            ParsedKey.Assignments -> packedRecords.delete(key, revision, AssignmentEntries, changes)
            is ParsedKey.Outcomes -> packedRecords.delete(key, revision, OutcomeEntries(parsed.shard), changes)
            is ParsedKey.Shard -> if (isOlder(shards[parsed.name], revision)) {
                changes.clusterRecordsChanged = true
                shards.remove(parsed.name)
            }
            is ParsedKey.Member -> if (isOlder(members[parsed.id], revision)) {
                changes.clusterRecordsChanged = true
                changes.removedMembers += parsed.id
                members.remove(parsed.id)
            }
            is ParsedKey.Images -> if (isOlder(images[parsed.shard], revision)) images.remove(parsed.shard)
            ParsedKey.Leader -> if (isOlder(leader, revision)) {
                changes.clusterRecordsChanged = true
                leader = null
            }
        }
    }

    /** What [decode] reads, or null where the key or record is malformed. */
    private fun <T : Any> decoded(decode: () -> T?): T? = Decoding.orNull("record", decode)

    private fun isNewer(revision: Revision, present: StoredRecord<*>?) = present == null || revision > present.revision

    private fun isOlder(present: StoredRecord<*>?, revision: Revision) = present != null && present.revision < revision
}
