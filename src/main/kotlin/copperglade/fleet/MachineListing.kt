package copperglade.fleet

import copperglade.protocol.CloudApiCodec
import copperglade.protocol.Endpoint
import copperglade.protocol.Json
import copperglade.protocol.ListedMachine
import copperglade.protocol.MachineName
import copperglade.protocol.MonotonicTime
import copperglade.storage.TokenBucket
import copperglade.transport.EventLoop
import copperglade.transport.HttpClient
import copperglade.transport.HttpStatus
import copperglade.transport.Method
import copperglade.transport.Request
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The cloud's list of machines, read again and again, page by page.
 *
 * Every page is paid for from the cloud's budget, and readings become rarer as the list gets longer, so that renting and
 * returning keep most of the budget whatever the size of the fleet.
 */
class MachineListing(
    private val loop: EventLoop,
    private val http: HttpClient,
    private val cloud: Endpoint,
    private val budget: TokenBucket,
    /** Called when the whole list has been read. */
    private val read: () -> Unit,
) {
    /** The machines by name, as of the last whole reading. */
    var machines: Map<MachineName, ListedMachine> = emptyMap()
        private set

    /** When the list was last read whole. */
    var readAt = MonotonicTime.NEVER
        private set

    private var beganAt = MonotonicTime.NEVER
    private var reading: Reading? = null
    private var pagesLastTime = 1

    private class Reading {
        val machines = HashMap<MachineName, ListedMachine>()
        var pages = 0
        var failures = 0
    }

    /** How often the list is read: at most a part of the budget goes into it. */
    val interval: Duration get() = maxOf(MIN_INTERVAL, (pagesLastTime / (budget.perSecond * BUDGET_PART)).seconds)

    /** What was read is out of date; a reading under way is given up. */
    fun forget() {
        readAt = MonotonicTime.NEVER
        beganAt = MonotonicTime.NEVER
        reading = null
    }

    /** Begins a reading if one is due. */
    fun refresh(now: MonotonicTime) {
        if (reading != null || now < beganAt + interval) return
        beganAt = now
        readPage(Reading().also { reading = it }, from = "")
    }

    private fun readPage(current: Reading, from: String) {
        if (reading !== current) return
        if (!budget.tryTake(1, loop.now())) {
            loop.after(BUDGET_PAUSE) { readPage(current, from) }
            return
        }
        val request = Request(Method.GET, "/machines?from=$from&limit=${CloudApiCodec.MACHINES_PER_PAGE}")
        http.call(cloud, request, TIMEOUT) { reply ->
            val page = reply?.takeIf { it.status == HttpStatus.OK }?.let { CloudApiCodec.decodeMachinePage(Json.read(it.body)) }
            when {
                reading !== current -> Unit
                page == null -> tryAgain(current, from)
                else -> {
                    page.machines.forEach { current.machines[it.name] = it }
                    current.pages++
                    val last = page.machines.lastOrNull()
                    if (page.more && last != null) readPage(current, last.name.text) else finish(current)
                }
            }
        }
    }

    /** One page that doesn't come, of many, must not cost the others. */
    private fun tryAgain(current: Reading, from: String) {
        current.failures++
        if (current.failures > MAX_FAILURES) {
            reading = null
        } else {
            loop.after(RETRY) { readPage(current, from) }
        }
    }

    private fun finish(current: Reading) {
        reading = null
        pagesLastTime = current.pages
        machines = current.machines
        readAt = loop.now()
        read()
    }

    private companion object {
        const val BUDGET_PART = 0.35
        const val MAX_FAILURES = 3
        val MIN_INTERVAL = 2.seconds
        val BUDGET_PAUSE = 100.milliseconds
        val RETRY = 500.milliseconds
        val TIMEOUT = 5.seconds
    }
}
