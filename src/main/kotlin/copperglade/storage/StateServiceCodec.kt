package copperglade.storage

import com.fasterxml.jackson.core.JsonGenerator
import com.fasterxml.jackson.databind.JsonNode
import copperglade.protocol.Json
import copperglade.protocol.LeaseId
import copperglade.protocol.Revision
import copperglade.protocol.booleanOrNull
import copperglade.protocol.longOrNull
import copperglade.protocol.stringOrNull
import copperglade.protocol.writeJsonArray
import copperglade.protocol.writeJsonObject
import copperglade.transport.HttpStatus
import copperglade.transport.Method
import copperglade.transport.Reply
import copperglade.transport.Request
import kotlin.time.Duration

/** Encodes requests to the state service and decodes its answers. A missing (null) or malformed answer is decoded as a failure. */
internal object StateServiceCodec {
    private const val NO_SUCH_LEASE = "no such lease"
    private const val LIST_LIMIT = 1000

    fun transaction(transaction: Transaction) = Request(Method.POST, "/multi", encode(transaction))

    fun read(key: String) = Request(Method.GET, "/kv/$key")

    fun list(prefix: String, from: String?): Request {
        val start = if (from == null) "" else "&from=$from"
        return Request(Method.GET, "/kv?starts=$prefix$start&limit=$LIST_LIMIT")
    }

    fun changes(prefix: String, from: Revision, wait: Duration) =
        Request(Method.GET, "/changes?starts=$prefix&from=$from&waitMs=${wait.inWholeMilliseconds}")

    fun openLease(length: Duration) =
        Request(Method.POST, "/holds", Json.write { writeJsonObject { writeNumberField("ttlMs", length.inWholeMilliseconds) } })

    fun extendLease(leaseId: LeaseId) = Request(Method.POST, "/holds/$leaseId/extend")

    fun endLease(leaseId: LeaseId) = Request(Method.DELETE, "/holds/$leaseId")

    private fun encode(transaction: Transaction): ByteArray = Json.write {
        writeJsonObject {
            writeJsonArray("if") { transaction.conditions.forEach { condition(it) } }
            writeJsonArray("writes") { transaction.writes.forEach { write(it) } }
        }
    }

    private fun JsonGenerator.condition(condition: Condition) = writeJsonObject {
        writeStringField("k", condition.key)
        writeNumberField("stamp", condition.revision.number)
    }

    private fun JsonGenerator.write(write: Write) = writeJsonObject {
        when (write) {
            is Write.Delete -> writeStringField("drop", write.key)
            is Write.Set -> {
                writeStringField("set", write.key)
                writeFieldName("data")
                writeRawValue(write.value.decodeToString())
                write.leaseId?.let { writeNumberField("permit", it.number) }
            }
        }
    }

    /** Decodes the revision of an applied transaction; returns null if the answer doesn't contain the revision. */
    fun decodeAppliedRevision(body: ByteArray): Revision? = Json.read(body)?.longOrNull("ledger")?.let(::Revision)

    /** Decodes the keys whose conditions were not met. */
    fun decodeConflict(body: ByteArray): List<String> {
        val failed = Json.read(body)?.get("failed")
        return failed?.map { it.asText() }.orEmpty()
    }

    /** Decodes the error text of a transaction that the service rejected as malformed. */
    fun decodeError(body: ByteArray): String = Json.read(body)?.stringOrNull("error").orEmpty()

    /** Whether an error text reports that the lease has ended, rather than a malformed transaction. */
    fun isNoSuchLease(error: String): Boolean = error.contains(NO_SUCH_LEASE, ignoreCase = true)

    fun decodeRead(reply: Reply?): ReadOutcome {
        val node = treeOf(reply)
        val value = node?.get("data")
        val revision = node?.longOrNull("stamp")
        return when {
            value != null && revision != null -> ReadOutcome.Present(EncodedRecord(value), Revision(revision))
            reply?.status == HttpStatus.NOT_FOUND -> ReadOutcome.Absent
            else -> ReadOutcome.Failed
        }
    }

    fun decodeList(reply: Reply?): ListOutcome {
        val node = treeOf(reply)
        val storeRevision = node?.longOrNull("ledger") ?: return ListOutcome.Failed
        val records = node.get("entries")?.mapNotNull(::decodeListed) ?: return ListOutcome.Failed
        return ListOutcome.Received(records, node.booleanOrNull("truncated") ?: false, Revision(storeRevision))
    }

    private fun decodeListed(node: JsonNode): ListedRecord? {
        val key = node.stringOrNull("k")
        val value = node.get("data")
        val revision = node.longOrNull("stamp")
        return if (key == null || value == null || revision == null) null else ListedRecord(key, EncodedRecord(value), Revision(revision))
    }

    fun decodeChanges(reply: Reply?): ChangesOutcome = when (reply?.status) {
        HttpStatus.OK -> decodeReceivedChanges(Json.read(reply.body))
        HttpStatus.GONE -> ChangesOutcome.TooOld
        else -> ChangesOutcome.Failed
    }

    private fun decodeReceivedChanges(node: JsonNode?): ChangesOutcome {
        val storeRevision = node?.longOrNull("ledger") ?: return ChangesOutcome.Failed
        return ChangesOutcome.Received(Revision(storeRevision), node.get("events")?.mapNotNull(::decodeChange).orEmpty())
    }

    private fun decodeChange(node: JsonNode): Change? {
        val revision = Revision(node.longOrNull("stamp") ?: return null)
        val deleted = node.stringOrNull("drop")
        if (deleted != null) return Change.Deleted(deleted, revision)
        val key = node.stringOrNull("set") ?: return null
        val value = node.get("data") ?: return null
        return Change.Set(key, EncodedRecord(value), revision)
    }

    fun decodeOpenedLease(reply: Reply?): LeaseOutcome {
        val leaseId = treeOf(reply)?.longOrNull("permit")
        return if (leaseId == null) LeaseOutcome.Failed else LeaseOutcome.Granted(LeaseId(leaseId))
    }

    fun decodeExtendedLease(reply: Reply?): LeaseOutcome = when (reply?.status) {
        HttpStatus.OK -> LeaseOutcome.Extended
        HttpStatus.NOT_FOUND -> LeaseOutcome.NoSuchLease
        else -> LeaseOutcome.Failed
    }

    private fun treeOf(reply: Reply?): JsonNode? = reply?.takeIf { it.status == HttpStatus.OK }?.let { Json.read(it.body) }
}
