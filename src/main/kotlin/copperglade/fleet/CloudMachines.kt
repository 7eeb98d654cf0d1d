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
 * The machines at the cloud: those listed, those rented but not listed yet, and the requests that rent and delete them within
 * the [budget] of requests.
 *
 * @param listLagSeconds by how much the cloud's list may be late.
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

    /** For how long the list may lack machines that a former leader has just rented. */
    val rentalListingDelaySeconds: Double get() = 2 * listLagSeconds

    /** The kinds of machines that are rented and not listed yet, one entry a machine. */
    internal val unlisted: List<MachineKind> get() = rental.unlisted

    /** How many machines of each kind are requested. */
    internal val requested: Map<MachineKind, Int> get() = rental.requested

    /** Starts a listing if one is due. */
    fun refresh(now: MonotonicTime) = listing.refresh(now)

    /** Forgets what a former leadership term has left, which is out of date. */
    fun reset() {
        listing.invalidate()
        rental.clearUnlisted()
    }

    private fun onListed() {
        rental.removeListed(listed.keys)
        bootTimes.observe(listed)
    }

    /** Stops counting rented machines that should have been listed by now. */
    fun removeNeverListed(now: MonotonicTime) =
        rental.removeNeverListed((listLagSeconds * LIST_LAGS_UNTIL_LISTED + 1).seconds + listing.interval, now)

    /** Whether another machine should be rented in place of [machine], which takes too long to boot. */
    fun isOverdue(machine: ListedMachine): Boolean = types[machine.type]?.let { bootTimes.isOverdue(machine, it) } ?: false

    fun isDeleted(machine: MachineName): Boolean = deletion.isDeleted(machine)

    /**
     * Deletes the listed machines for which [isDead] holds, as many as one request can name, if the budget allows it.
     * Deleting is always safe: whatever ran on a machine is gone with it, and its owner waits for its lease to expire.
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

    /** Requests [count] machines of [kind]; returns false where the budget does not allow it. */
    internal fun rent(kind: MachineKind, count: Int, now: MonotonicTime): Boolean {
        if (!budget.tryTake(1, now)) return false
        rental.request(kind, count)
        return true
    }

    private companion object {
        const val LIST_LAGS_UNTIL_LISTED = 2.0
    }
}
