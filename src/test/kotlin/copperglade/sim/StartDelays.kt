package copperglade.sim

/** The median and the 95th percentile of delays, in milliseconds, as text; of none, a note that there are none. */
fun describeDelays(delaysMillis: List<Double>): String {
    if (delaysMillis.isEmpty()) return "no delays"
    val sorted = delaysMillis.sorted()

    fun percentile(share: Double) = Math.round(sorted[((sorted.size - 1) * share).toInt()])
    return "n=${sorted.size} p50_ms=${percentile(0.50)} p95_ms=${percentile(0.95)}"
}

private const val MACHINES_PER_ZONE = 20
private const val SERVICES = 40
private const val JOBS = 400
private const val JOB_INTERVAL_SECONDS = 0.5
private const val WARM_UP_SECONDS = 60.0
private const val FIRST_JOB = 2000
private const val HEARTBEAT_PATH = "/checkin"
private const val TRANSACTION_PATH = "/multi"

/**
 * Plays a day without faults for each seed from 1 to 4, and prints how long after their acceptance jobs start while machines have room, the
 * size of the largest heartbeat, and the transactions a second.
 */
fun main() = (1L..4L).forEach { seed ->
    var largestHeartbeat = 0
    var transactions = 0
    val scale = SiteScale(MACHINES_PER_ZONE, heartbeatIntervalSeconds = 3.0, leaseSeconds = 17.5, teamCpus = 600.0, guaranteedCpus = 600.0)
    val site = SimSite(Simulation(seed), scale = scale, wireObserver = { event ->
        if (event.step == WireStep.REQUEST_SENT && event.request.path == HEARTBEAT_PATH) {
            largestHeartbeat = maxOf(largestHeartbeat, event.request.body.size)
        }
        if (event.step == WireStep.REQUEST_SENT && event.request.path == TRANSACTION_PATH) transactions++
    })
    repeat(SERVICES) { site.submit(SimSite.job(FIRST_JOB / 2 + it, tasks = 1, cpus = 6.0, service = true, spot = false)) { null } }
    site.run(WARM_UP_SECONDS)
    val transactionsBefore = transactions
    val random = site.sim.random
    repeat(JOBS) { number ->
        val workSeconds = 4.0 + random.nextInt(16)
        site.after(number * JOB_INTERVAL_SECONDS) {
            site.submit(SimSite.job(FIRST_JOB + number, tasks = 1 + number % 4, cpus = 1.0, spot = false, imageGb = 0.001)) { workSeconds }
        }
    }
    val daySeconds = JOBS * JOB_INTERVAL_SECONDS
    site.run(daySeconds)
    val delays = site.users.values
        .filter { it.workSeconds(0) != null }
        .mapNotNull { user -> user.firstStartAtMillis?.let { it - (user.acceptedAtMillis ?: return@mapNotNull null) } }
    val perSecond = Math.round((transactions - transactionsBefore) / daySeconds * 10) / 10.0
    println("seed=$seed ${describeDelays(delays)} largest_heartbeat_bytes=$largestHeartbeat transactions_per_s=$perSecond")
}
