package copperglade.fleet

import copperglade.membership.Membership
import copperglade.protocol.CloudApiCodec
import copperglade.protocol.Endpoint
import copperglade.protocol.ListedMachine
import copperglade.protocol.MachineName
import copperglade.protocol.MonotonicTime
import copperglade.storage.TokenBucket
import copperglade.transport.EventLoop
import copperglade.transport.HttpClient
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The machines at the cloud: listed machines, and machines rented but not listed yet. Sends the requests that list, rent and delete
 * machines, within the request [budget].
 *
 * @param listLagSeconds the maximum delay of the cloud's list.
 */
class CloudMachines(
    loop: EventLoop,
    http: HttpClient,
    cloud: Endpoint,
    private val budget: TokenBucket,
    membership: Membership,
    private val types: MachineTypeCatalog,
    private val listLagSeconds: Double,
) {
    private val listing = MachineListing(loop, http, cloud, budget, ::onListed)
    private val rental = MachineRental(loop, http, cloud, membership)
    private val deletion = MachineDeletion(http, cloud)
    private val bootTimes = BootTimes()

    /** The machines of the last complete listing. */
    val listed: Map<MachineName, ListedMachine> get() = listing.machines

    /** Whether there has been a complete listing since [reset]. */
    val isListed: Boolean get() = listing.completedAt != MonotonicTime.NEVER

    /** For how long the cloud's list may lack machines that a former leader has just rented. */
    val rentalListingDelaySeconds: Double get() = 2 * listLagSeconds

    /** The kinds of machines that are rented and not listed yet, one entry a machine. */
    internal val unlisted: List<MachineKind> get() = rental.unlisted

    /** The number of machines of each kind in rental requests in flight. */
    internal val requested: Map<MachineKind, Int> get() = rental.requested

    /** Starts a listing if one is due. */
    fun refresh(now: MonotonicTime) = listing.refresh(now)

    /** Discards the state of a former leadership term, which is out of date. */
    fun reset() {
        listing.invalidate()
        rental.clearUnlisted()
    }

    private fun onListed() {
        rental.removeListed(listed.keys)
        bootTimes.observe(listed)
    }

    /** Stops counting rented machines that are not listed although they should be by now. */
    fun removeNeverListed(now: MonotonicTime) =
        rental.removeNeverListed((listLagSeconds * LIST_LAGS_UNTIL_LISTED + 1).seconds + listing.interval, now)

    /** Whether [machine] takes so long to boot that another should be rented in its place. */
    fun isOverdue(machine: ListedMachine): Boolean = types[machine.type]?.let { bootTimes.isOverdue(machine, it) } ?: false

    fun isDeleted(machine: MachineName): Boolean = deletion.isDeleted(machine)

    /**
     * Deletes the listed machines for which [isDead] holds, up to the limit of one request, if the request budget allows a request.
     *
     * Deleting is always safe: the tasks on a machine end with the machine, and the shard owner waits for the worker's lease to expire.
     */
    fun deleteDead(now: MonotonicTime, isDead: (ListedMachine) -> Boolean) {
        deletion.expire(now)
        val dead = listed.values
            .filter { !deletion.isDeleted(it.name) && isDead(it) }
            .map { it.name }
            .take(CloudApiCodec.MAX_MACHINES_PER_DELETION)
        if (dead.isNotEmpty() && budget.tryTake(1, now)) deletion.delete(dead, now)
    }

    /** Whether machines of [kind] may be requested now. */
    internal fun isAvailable(kind: MachineKind, now: MonotonicTime): Boolean = rental.isAvailable(kind, now)

    /** Requests [count] machines of [kind]; returns false where the request budget does not allow a request. */
    internal fun rent(kind: MachineKind, count: Int, now: MonotonicTime): Boolean {
        if (!budget.tryTake(1, now)) return false
        rental.request(kind, count)
        return true
    }

    private companion object {
        const val LIST_LAGS_UNTIL_LISTED = 2.0
    }
}
