package copperglade.fleet

import copperglade.membership.Membership
import copperglade.protocol.CloudApiCodec
import copperglade.protocol.Endpoint
import copperglade.protocol.Json
import copperglade.protocol.MachineName
import copperglade.protocol.MonotonicTime
import copperglade.transport.EventLoop
import copperglade.transport.HttpClient
import copperglade.transport.HttpStatus
import copperglade.transport.Method
import copperglade.transport.Reply
import copperglade.transport.Request
import org.slf4j.LoggerFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Rents machines from the cloud, and counts those that are requested or rented but not listed yet. */
internal class MachineRental(
    private val loop: EventLoop,
    private val http: HttpClient,
    private val cloud: Endpoint,
    private val membership: Membership,
) {
    private class UnlistedMachine(val kind: MachineKind, val rentedAt: MonotonicTime)

    /** A request for [count] machines; the cloud carries out each [name] once at most. */
    private class RentalRequest(val name: String, val kind: MachineKind, val count: Int)

    private val unlistedMachines = HashMap<MachineName, UnlistedMachine>()
    private val requestedCounts = HashMap<MachineKind, Int>()
    private val unavailableUntil = HashMap<MachineKind, MonotonicTime>()
    private var requests = 0

    /** The kinds of machines that are rented and not listed yet, one entry a machine. */
    val unlisted: List<MachineKind> get() = unlistedMachines.values.map { it.kind }

    /** How many machines of each kind are requested. */
    val requested: Map<MachineKind, Int> get() = requestedCounts

    /** Whether machines of [kind] may be requested: no request for it is in flight, and none was refused lately. */
    fun isAvailable(kind: MachineKind, now: MonotonicTime): Boolean =
        kind !in requestedCounts && now >= (unavailableUntil[kind] ?: MonotonicTime.NEVER)

    /** Requests [count] machines of [kind]; does nothing while this controller has no session. */
    fun request(kind: MachineKind, count: Int) {
        val incarnation = membership.incarnation ?: return
        // An incarnation is never used twice, so no other process uses this name.
        val request = RentalRequest("r-$incarnation-${++requests}", kind, count)
        requestedCounts[kind] = count
        send(request, MAX_RETRIES)
    }

    /** The listed machines are counted by the list from now on. */
    fun removeListed(machines: Set<MachineName>) = machines.forEach(unlistedMachines::remove)

    /** Stops counting machines that were rented at least [timeout] ago and have not been listed since: they are gone. */
    fun removeNeverListed(timeout: Duration, now: MonotonicTime) {
        unlistedMachines.values.removeIf { now >= it.rentedAt + timeout }
    }

    fun clearUnlisted() = unlistedMachines.clear()

    private fun send(request: RentalRequest, retries: Int) {
        val kind = request.kind
        val body = CloudApiCodec.encodeRental(request.name, kind.type, kind.zone, kind.spot, request.count)
        http.call(cloud, Request(Method.POST, "/machines", body), REQUEST_TIMEOUT) { reply -> onReply(request, retries, reply) }
    }

    private fun onReply(request: RentalRequest, retries: Int, reply: Reply?) {
        val rented = reply?.takeIf { it.status == HttpStatus.OK }?.let { CloudApiCodec.decodeRental(Json.read(it.body)) }
        when {
            rented != null -> onRented(request, rented)
            // Under the same name: if the first request was carried out after all, nothing more is rented.
            (reply == null || reply.status == HttpStatus.TOO_MANY_REQUESTS) && retries > 0 ->
                loop.after(RETRY_DELAY) { send(request, retries - 1) }
            else -> onRefused(request, reply?.status)
        }
    }

    private fun onRented(request: RentalRequest, machines: List<MachineName>) {
        val kind = request.kind
        log.info(
            "machines_rented count={} requested={} type={} zone={} spot={}",
            machines.size,
            request.count,
            kind.type,
            kind.zone,
            kind.spot,
        )
        machines.forEach { unlistedMachines[it] = UnlistedMachine(kind, loop.now()) }
        requestedCounts -= kind
        if (machines.size < request.count) unavailableUntil[kind] = loop.now() + UNAVAILABLE_RETRY_DELAY
    }

    private fun onRefused(request: RentalRequest, status: Int?) {
        val kind = request.kind
        log.info(
            "machines_unavailable requested={} type={} zone={} spot={} status={}",
            request.count,
            kind.type,
            kind.zone,
            kind.spot,
            status,
        )
        requestedCounts -= kind
        unavailableUntil[kind] = loop.now() + UNAVAILABLE_RETRY_DELAY
    }

    private companion object {
        const val MAX_RETRIES = 10
        val REQUEST_TIMEOUT = 3.seconds
        val RETRY_DELAY = 1.seconds
        val UNAVAILABLE_RETRY_DELAY = 12.seconds
        val log = LoggerFactory.getLogger("fleet")
    }
}
