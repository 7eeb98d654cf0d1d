package copperglade.storage

import copperglade.protocol.MonotonicTime
import copperglade.protocol.Revision
import copperglade.transport.EventLoop
import org.slf4j.LoggerFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The replica that a [ChangeReader] keeps current. */
internal interface ChangeTarget {
    val state: ReplicaState
    val knownRevision: Revision
    val jobCount: Int

    /** Applies the changes of a read that began at [knownRevision] or earlier. Does nothing while the replica is loading. */
    fun apply(read: ChangesOutcome.Received)

    /** Starts loading all records again. */
    fun reload(reason: String)
}

/**
 * Reads changes from the state service. One watch is kept open; each opening costs a request, so the reader pauses before it reopens the
 * watch. Callers of [catchUp] are served by additional reads, and many callers share one read.
 *
 * @param controllerCount the number of controllers that share the request budget.
 * @param idleRefreshInterval the snapshot age at which a read is sent even without a caller of [catchUp].
 * @param maxSnapshotAge the snapshot age at which repeated read failures trigger a reload. A read returns all changes in one answer of
 *   unbounded size, whereas a reload is paged.
 */
internal class ChangeReader(
    private val loop: EventLoop,
    private val store: StateClient,
    private val target: ChangeTarget,
    controllerCount: Int,
    private val idleRefreshInterval: Duration,
    private val maxSnapshotAge: Duration,
) {
    /** The interval between requests at which all controllers together use half of the service's request budget. */
    val minRequestInterval = maxOf(MIN_REQUEST_INTERVAL, (controllerCount / (store.limits.requestsPerSecond * READ_SHARE)).seconds)
    private var waiters = ArrayList<(CatchUpOutcome) -> Unit>()
    private var readInFlight = false
    private var watchOpen = false
    private var lastRequestAt = MonotonicTime.NEVER
    private var applyDuration = Duration.ZERO
    private var consecutiveFailures = 0

    /** When the latest successful read was sent. The replica holds every change committed before this time. */
    var snapshotTakenAt = MonotonicTime.NEVER
        private set

    /** Starts to refresh idle snapshots. The caller must call [watch] after each load. */
    fun start() = loop.scheduleRepeating({ idleRefreshInterval }, ::refreshIfIdle)

    /** A watch without events does not confirm that the snapshot is current, so a read is sent after [idleRefreshInterval]. */
    private fun refreshIfIdle() {
        if (loop.now() >= snapshotTakenAt + idleRefreshInterval && target.state == ReplicaState.CURRENT && !readInFlight) catchUp {}
    }

    /**
     * Opens the watch. If callers of [catchUp] are waiting, the same request serves them and returns at once. Otherwise, a constant
     * stream of changes would cost twice as many requests.
     */
    fun watch() {
        if (target.state != ReplicaState.CURRENT) return
        watchOpen = true
        val served = if (readInFlight) emptyList() else takeWaiters()
        read(served, if (served.isEmpty()) WATCH_TIMEOUT else Duration.ZERO, ::watchEnded)
    }

    private fun watchEnded(outcome: ChangesOutcome) {
        watchOpen = false
        when (outcome) {
            is ChangesOutcome.Received -> loop.after(pause()) { watch() }
            ChangesOutcome.Failed ->
                if (cannotCatchUp()) {
                    reload("changes since revision ${target.knownRevision} can't be read")
                } else {
                    loop.after(RETRY_INTERVAL) { watch() }
                }
            ChangesOutcome.TooOld -> reload("the state service has discarded changes since revision ${target.knownRevision}")
        }
    }

    private fun reload(reason: String) {
        if (target.state == ReplicaState.LOADING) return
        consecutiveFailures = 0
        target.reload(reason)
    }

    private fun takeWaiters(): List<(CatchUpOutcome) -> Unit> = waiters.also { waiters = ArrayList() }

    private fun read(served: List<(CatchUpOutcome) -> Unit>, wait: Duration, then: (ChangesOutcome) -> Unit) {
        val sentAt = loop.now()
        lastRequestAt = sentAt
        store.changes(Keys.ROOT, target.knownRevision, wait) { outcome ->
            received(outcome, sentAt)
            then(outcome)
            served.forEach { it(catchUpOutcome(outcome)) }
        }
    }

    private fun received(outcome: ChangesOutcome, sentAt: MonotonicTime) {
        val receivedAt = loop.now()
        consecutiveFailures = if (outcome is ChangesOutcome.Received) 0 else consecutiveFailures + 1
        logRead(outcome, sentAt)
        if (outcome is ChangesOutcome.Received) target.apply(outcome)
        applyDuration = (loop.now().millis - receivedAt.millis).milliseconds
        // Changes received during a load aren't applied, so this read must not advance the snapshot's time.
        if (outcome is ChangesOutcome.Received && sentAt > snapshotTakenAt && target.state == ReplicaState.CURRENT) snapshotTakenAt = sentAt
    }

    private fun catchUpOutcome(outcome: ChangesOutcome): CatchUpOutcome {
        val current = outcome is ChangesOutcome.Received && target.state == ReplicaState.CURRENT
        return if (current) CatchUpOutcome.Current else CatchUpOutcome.Unavailable
    }

    private fun logRead(outcome: ChangesOutcome, sentAt: MonotonicTime) {
        if (!log.isDebugEnabled) return
        val received = outcome as? ChangesOutcome.Received
        log.debug(
            "changes_read from={} to={} changes={} took_ms={} records_age_ms={} state={}",
            target.knownRevision,
            received?.storeRevision,
            received?.changes?.size,
            loop.now().millis - sentAt.millis,
            loop.now().millis - snapshotTakenAt.millis,
            target.state,
        )
    }

    /** Whether reads fail repeatedly although the service answers other requests, and the snapshot has reached [maxSnapshotAge]. */
    private fun cannotCatchUp() =
        consecutiveFailures >= MAX_FAILURES && loop.now() >= snapshotTakenAt + maxSnapshotAge && !store.isUnreachable()

    /** See [Replica.catchUp]. */
    fun catchUp(done: (CatchUpOutcome) -> Unit) {
        if (target.state != ReplicaState.CURRENT || waiters.size >= maxOf(MAX_WAITERS, target.jobCount * MAX_WAITERS_PER_JOB)) {
            done(CatchUpOutcome.Unavailable)
            return
        }
        waiters += done
        readIfRequested()
    }

    /** Sends a read for the waiters while the watch is open. While the watch is closed, its next opening serves the waiters. */
    fun readIfRequested() {
        if (readInFlight || !watchOpen || waiters.isEmpty() || target.state != ReplicaState.CURRENT) return
        readInFlight = true
        val remainingMillis = pause().inWholeMilliseconds - (loop.now().millis - lastRequestAt.millis)
        if (remainingMillis > 0) loop.after(remainingMillis.milliseconds) { readNow() } else readNow()
    }

    /** The pause between requests. It grows with the time that the latest changes took to apply, so that the next read batches more. */
    private fun pause(): Duration = maxOf(minRequestInterval, minOf(applyDuration * PAUSE_PER_APPLY_DURATION, MAX_PAUSE))

    private fun readNow() = read(takeWaiters(), Duration.ZERO) {
        readInFlight = false
        readIfRequested()
    }

    private companion object {
        const val MAX_WAITERS = 2_000
        const val MAX_WAITERS_PER_JOB = 2
        const val MAX_FAILURES = 3
        const val READ_SHARE = 0.5
        const val PAUSE_PER_APPLY_DURATION = 8
        val RETRY_INTERVAL = 250.milliseconds
        val WATCH_TIMEOUT = 10.seconds
        val MAX_PAUSE = 200.milliseconds
        val MIN_REQUEST_INTERVAL = 50.milliseconds
        val log = LoggerFactory.getLogger("replica")
    }
}
