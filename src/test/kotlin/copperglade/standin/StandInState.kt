package copperglade.standin

import com.fasterxml.jackson.databind.JsonNode
import copperglade.protocol.Json
import copperglade.protocol.MonotonicTime
import copperglade.protocol.longOrNull
import copperglade.protocol.stringOrNull
import copperglade.protocol.writeJsonArray
import copperglade.protocol.writeJsonObject
import copperglade.storage.TokenBucket
import copperglade.transport.EventLoop
import copperglade.transport.Method
import copperglade.transport.Reply
import copperglade.transport.Request
import copperglade.transport.RequestHandler
import copperglade.transport.Responder
import java.util.TreeMap
import kotlin.time.Duration.Companion.milliseconds

/** What a transaction may be; [changesPerS] has a burst of one second's worth. */
class ServiceLimits(val valueBytes: Int, val transactionWrites: Int, val changesPerS: Double)

/** Transactions that were refused because of [ServiceLimits], by reason. */
class LimitRefusals {
    var largeValues = 0
    var manyWrites = 0
    var manyConditions = 0
    var overRate = 0

    /** Those that the sender could have known beforehand. */
    val malformed get() = largeValues + manyWrites + manyConditions

    override fun toString() =
        "large values: $largeValues, many writes: $manyWrites, many conditions: $manyConditions, over the rate: $overRate"
}

/** The state service, written from the protocol: plain and slow. */
class StandInState(private val loop: EventLoop) : RequestHandler {
    private class Value(val data: JsonNode, val revision: Long, val leaseId: Long?)

    private class Event(val key: String, val data: JsonNode?, val revision: Long)

    private class Lease(val ttlMs: Long, var until: MonotonicTime)

    private class Watcher(val prefix: String, val from: Long, val until: MonotonicTime, val responder: Responder)

    private val values = TreeMap<String, Value>()
    private val events = ArrayDeque<Event>()
    private val leases = HashMap<Long, Lease>()
    private val watchers = ArrayList<Watcher>()
    private var storeRevision = 1L
    private var lastLeaseId = 0L
    private var outageBegan: MonotonicTime? = null

    /** Null: there are none. May be changed at any time; what is stored stays. */
    var limits: ServiceLimits? = null
        set(value) {
            field = value
            changeBudget = value?.let { TokenBucket(it.changesPerS, CHANGE_BURST_S, loop.now()) }
        }
    private var changeBudget: TokenBucket? = null
    val limitRefusals = LimitRefusals()

    /** Transactions that were applied since the start. */
    var applied = 0
        private set

    /** Requests that read something. */
    var reads = 0
        private set

    /** Requests that were refused in an outage. */
    var refusedInOutage = 0
        private set

    init {
        tick()
    }

    var outage: Boolean
        get() = outageBegan != null
        set(on) {
            if (on == outage) return
            outageBegan = if (on) loop.now() else null
            // After an outage every lease has its full time again.
            if (!on) leases.values.forEach { it.until = loop.now() + it.ttlMs.milliseconds }
        }

    /** Stores a value as if it had been written earlier. */
    fun put(key: String, value: ByteArray) {
        values[key] = Value(Json.read(value)!!, storeRevision, null)
    }

    /** The value of [key] as text, or null. */
    fun text(key: String): String? = values[key]?.data?.toString()

    fun keys(prefix: String): List<String> = values.tailMap(prefix).keys.takeWhile { it.startsWith(prefix) }

    private fun tick() {
        if (!outage) {
            leases
                .filterValues { loop.now() > it.until }
                .keys
                .toList()
                .forEach(::endLease)
            answerWatchers()
        }
        loop.after(TICK) { tick() }
    }

    private fun endLease(leaseId: Long) {
        leases.remove(leaseId) ?: return
        val attached = values.filterValues { it.leaseId == leaseId }.keys.toList()
        if (attached.isNotEmpty()) {
            storeRevision++
            attached.forEach(::drop)
        }
    }

    private fun drop(key: String) {
        if (values.remove(key) != null) event(Event(key, null, storeRevision))
    }

    private fun event(event: Event) {
        events += event
        if (events.size > KEPT) events.removeFirst()
    }

    override fun handle(request: Request, responder: Responder) {
        if (request.method == Method.GET) reads++
        if (outage) {
            refusedInOutage++
            return responder.send(Reply(503))
        }
        val path = request.path.substringBefore('?')
        val query = request.path
            .substringAfter('?', "")
            .split('&')
            .filter { it.isNotEmpty() }
            .associate { it.substringBefore('=') to it.substringAfter('=') }
        when {
            path == "/multi" -> responder.send(multi(Json.read(request.body)))
            path == "/kv" -> responder.send(list(query))
            path.startsWith("/kv/") -> responder.send(get(path.removePrefix("/kv/")))
            path == "/changes" -> watch(query, responder)
            path == "/holds" -> responder.send(open(Json.read(request.body)))
            path.endsWith("/extend") -> responder.send(extend(path.split('/')[2].toLong()))
            path.startsWith("/holds/") && request.method == Method.DELETE -> {
                endLease(path.split('/')[2].toLong())
                responder.send(Reply(200))
            }
            else -> responder.send(Reply(400))
        }
        answerWatchers()
    }

    private fun open(body: JsonNode?): Reply {
        val ttl = body?.longOrNull("ttlMs")?.takeIf { it in 100..600_000 } ?: return Reply(400)
        val leaseId = ++lastLeaseId
        leases[leaseId] = Lease(ttl, loop.now() + ttl.milliseconds)
        return Reply(200, Json.write { writeJsonObject { writeNumberField("permit", leaseId) } })
    }

    private fun extend(leaseId: Long): Reply {
        val lease = leases[leaseId] ?: return Reply(404)
        lease.until = loop.now() + lease.ttlMs.milliseconds
        return Reply(200)
    }

    private fun get(key: String): Reply {
        val value = values[key] ?: return Reply(404, Json.write { writeJsonObject { writeNumberField("ledger", storeRevision) } })
        return Reply(200, Json.write { writeJsonObject { entry(key, value) } })
    }

    private fun com.fasterxml.jackson.core.JsonGenerator.entry(key: String, value: Value) {
        writeStringField("k", key)
        writeFieldName("data")
        writeRawValue(value.data.toString())
        writeNumberField("stamp", value.revision)
    }

    private fun list(query: Map<String, String>): Reply {
        val prefix = query["starts"].orEmpty()
        val all = values
            .tailMap(query["from"] ?: prefix, query["from"] == null)
            .entries
            .dropWhile { !it.key.startsWith(prefix) && it.key < prefix }
            .takeWhile { it.key.startsWith(prefix) }
        val limit = (query["limit"]?.toInt() ?: 1000).coerceAtMost(PAGE)
        return Reply(
            200,
            Json.write {
                writeJsonObject {
                    writeJsonArray("entries") { all.take(limit).forEach { writeJsonObject { entry(it.key, it.value) } } }
                    writeBooleanField("truncated", all.size > limit)
                    writeNumberField("ledger", storeRevision)
                }
            },
        )
    }

    private fun multi(body: JsonNode?): Reply {
        val writes = body?.get("writes")?.toList().orEmpty()
        val conditions = body?.get("if")?.toList().orEmpty()
        overLimits(writes, conditions)?.let { return it }
        if (writes.any { write -> write.longOrNull("permit")?.let { it !in leases } == true }) {
            return Reply(400, Json.write { writeJsonObject { writeStringField("error", "no such lease") } })
        }
        val failed = conditions.filter { (values[it.stringOrNull("k")]?.revision ?: 0L) != it.longOrNull("stamp") }
        if (failed.isNotEmpty()) {
            return Reply(
                409,
                Json.write {
                    writeJsonObject {
                        writeJsonArray("failed") { failed.forEach { writeString(it.stringOrNull("k")) } }
                        writeNumberField("ledger", storeRevision)
                    }
                },
            )
        }
        applied++
        if (writes.isNotEmpty()) storeRevision++
        for (write in writes) {
            val dropped = write.stringOrNull("drop")
            if (dropped != null) {
                drop(dropped)
            } else {
                val key = write.stringOrNull("set")!!
                values[key] = Value(write.get("data"), storeRevision, write.longOrNull("permit"))
                event(Event(key, write.get("data"), storeRevision))
            }
        }
        return Reply(200, Json.write { writeJsonObject { writeNumberField("ledger", storeRevision) } })
    }

    /** The refusal of a transaction that is beyond the limits, counted; null where it is within them. */
    private fun overLimits(writes: List<JsonNode>, conditions: List<JsonNode>): Reply? {
        val limits = limits ?: return null
        val budget = changeBudget ?: return null
        val largest = writes.maxOfOrNull {
            it
                .get("data")
                ?.toString()
                ?.toByteArray()
                ?.size ?: 0
        } ?: 0
        when {
            largest > limits.valueBytes -> limitRefusals.largeValues++
            writes.size > limits.transactionWrites -> limitRefusals.manyWrites++
            conditions.size > limits.transactionWrites * CONDITIONS_PER_WRITE -> limitRefusals.manyConditions++
            budget.available(loop.now()) < writes.size -> {
                limitRefusals.overRate++
                return Reply(429)
            }
            else -> {
                budget.take(writes.size, loop.now())
                return null
            }
        }
        return Reply(400, Json.write { writeJsonObject { writeStringField("error", "beyond the limits") } })
    }

    private fun watch(query: Map<String, String>, responder: Responder) {
        val from = query["from"]!!.toLong()
        if (events.isNotEmpty() && events.first().revision > from + 1 &&
            events.size >= KEPT
        ) {
            return responder.send(Reply(410))
        }
        val waitMs = query["waitMs"]?.toLong() ?: 0
        watchers += Watcher(query["starts"].orEmpty(), from, loop.now() + waitMs.milliseconds, responder)
    }

    private fun answerWatchers() {
        if (outage) return
        for (watcher in watchers.toList()) {
            val news = events
                .asReversed()
                .asSequence()
                .takeWhile { it.revision > watcher.from }
                .filter { it.key.startsWith(watcher.prefix) }
                .toList()
                .asReversed()
            if (news.isEmpty() && loop.now() < watcher.until) continue
            watchers -= watcher
            val body = Json.write {
                writeJsonObject {
                    writeNumberField("ledger", storeRevision)
                    writeJsonArray("events") {
                        for (event in news) {
                            writeJsonObject {
                                if (event.data == null) {
                                    writeStringField("drop", event.key)
                                } else {
                                    writeStringField("set", event.key)
                                    writeFieldName("data")
                                    writeRawValue(event.data.toString())
                                }
                                writeNumberField("stamp", event.revision)
                            }
                        }
                    }
                }
            }
            watcher.responder.send(Reply(200, body))
        }
    }

    private companion object {
        const val KEPT = 10_000
        const val PAGE = 1000
        const val CONDITIONS_PER_WRITE = 4
        const val CHANGE_BURST_S = 1.0
        val TICK = 20.milliseconds
    }
}
