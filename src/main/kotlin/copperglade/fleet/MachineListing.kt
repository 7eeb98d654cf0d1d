package copperglade.fleet

import copperglade.protocol.CloudApiCodec
import copperglade.protocol.Endpoint
import copperglade.protocol.Json
import copperglade.protocol.ListedMachine
import copperglade.protocol.MachineName
import copperglade.protocol.MachinePage
import copperglade.protocol.MonotonicTime
import copperglade.storage.TokenBucket
import copperglade.transport.EventLoop
import copperglade.transport.HttpClient
import copperglade.transport.HttpStatus
import copperglade.transport.Method
import copperglade.transport.Reply
import copperglade.transport.Request
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The cloud's list of machines, read page by page at regular intervals.
 *
 * Every page is taken from the cloud's request budget, and the interval grows with the list, so that renting and deleting
 * machines keep most of the budget whatever the size of the fleet.
 */
internal class MachineListing(
    private val loop: EventLoop,
    private val http: HttpClient,
    private val cloud: Endpoint,
    private val budget: TokenBucket,
    /** Called when the whole list has been read. */
    private val onComplete: () -> Unit,
) {
    /** A listing in progress. */
    private class Listing {
        val machines = HashMap<MachineName, ListedMachine>()
        var pages = 0
        var failures = 0
    }

    /** The machines by name, as of the last complete listing. */
    var machines: Map<MachineName, ListedMachine> = emptyMap()
        private set

    /** When the last complete listing ended; [MonotonicTime.NEVER] where [machines] is out of date. */
    var completedAt = MonotonicTime.NEVER
        private set

    private var startedAt = MonotonicTime.NEVER
    private var inProgress: Listing? = null
    private var pagesOfLastListing = 1

    /** The time between the starts of two listings. */
    val interval: Duration get() = maxOf(MIN_INTERVAL, (pagesOfLastListing / (budget.perSecond * BUDGET_SHARE)).seconds)

    /** Marks [machines] as out of date and abandons a listing in progress. */
    fun invalidate() {
        completedAt = MonotonicTime.NEVER
        startedAt = MonotonicTime.NEVER
        inProgress = null
    }

    /** Starts a listing if one is due. */
    fun refresh(now: MonotonicTime) {
        if (inProgress != null || now < startedAt + interval) return
        startedAt = now
        requestPage(Listing().also { inProgress = it }, from = "")
    }

    private fun requestPage(listing: Listing, from: String) {
        if (inProgress !== listing) return
        if (!budget.tryTake(1, loop.now())) {
            loop.after(BUDGET_RETRY_DELAY) { requestPage(listing, from) }
            return
        }
        val request = Request(Method.GET, "/machines?from=$from&limit=${CloudApiCodec.MACHINES_PER_PAGE}")
        http.call(cloud, request, REQUEST_TIMEOUT) { reply -> onReply(listing, from, reply) }
    }

    private fun onReply(listing: Listing, from: String, reply: Reply?) {
        val page = reply?.takeIf { it.status == HttpStatus.OK }?.let { CloudApiCodec.decodeMachinePage(Json.read(it.body)) }
        when {
            inProgress !== listing -> Unit
            page == null -> retryPage(listing, from)
            else -> addPage(listing, page)
        }
    }

    private fun addPage(listing: Listing, page: MachinePage) {
        page.machines.forEach { listing.machines[it.name] = it }
        listing.pages++
        val last = page.machines.lastOrNull()
        if (page.hasMore && last != null) requestPage(listing, last.name.text) else complete(listing)
    }

    /** Requests a page again that failed, so that the pages read before it are not lost; abandons the listing after some failures. */
    private fun retryPage(listing: Listing, from: String) {
        listing.failures++
        if (listing.failures > MAX_FAILURES) {
            inProgress = null
        } else {
            loop.after(FAILURE_RETRY_DELAY) { requestPage(listing, from) }
        }
    }

    private fun complete(listing: Listing) {
        inProgress = null
        pagesOfLastListing = listing.pages
        machines = listing.machines
        completedAt = loop.now()
        onComplete()
    }

    private companion object {
        /** The share of the cloud's request budget that listings may take. */
        const val BUDGET_SHARE = 0.35
        const val MAX_FAILURES = 3
        val MIN_INTERVAL = 2.seconds
        val BUDGET_RETRY_DELAY = 100.milliseconds
        val FAILURE_RETRY_DELAY = 500.milliseconds
        val REQUEST_TIMEOUT = 5.seconds
    }
}
