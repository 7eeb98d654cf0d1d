package copperglade.soak

import copperglade.sim.describeDelays
import copperglade.transport.Method
import copperglade.transport.Request
import java.nio.file.Files
import java.nio.file.Path
import java.util.Random
import kotlin.time.Duration.Companion.milliseconds

enum class Verdict { PASSED, FAILED, INCONCLUSIVE }

/** How a run ended: [why] in one line, and the [figures] of its jobs and faults. */
class SoakResult(val seed: Long, val verdict: Verdict, val why: String, val figures: String, val folder: Path)

/** One run: controllers and users start, faults are injected and end, and then every rule has to hold and every job to complete. */
class SoakRun(private val options: SoakOptions, private val seed: Long) {
    private val folder = options.keepIn.resolve("seed-$seed")
    private var longestStallMs = 0L
    private var lastTickMs = 0L
    private var watching = true

    fun play(): SoakResult {
        deleteFolder()
        val site = SoakSite(options, seed, folder)
        val shutdownHook = Thread { site.controllers.forEach { it.kill() } }
        Runtime.getRuntime().addShutdownHook(shutdownHook)
        return try {
            play(site)
        } finally {
            watching = false
            site.close()
            Runtime.getRuntime().removeShutdownHook(shutdownHook)
        }
    }

    private fun play(site: SoakSite): SoakResult {
        val schedule = SoakFaults.schedule(Random(seed), options.faultPhaseS * MS_PER_S)
        val users = SoakUsers(site)
        site.controllers.forEach { it.start() }
        if (!awaitHealthy(site)) return result(site, schedule, Verdict.INCONCLUSIVE, "the controllers did not come up")
        site.onLoop {
            users.start()
            site.network.repeatedCommandOneIn = SoakFaults.BACKGROUND_REPEATED_COMMAND_ONE_IN
            lastTickMs = site.loop.now().millis
            watch(site)
        }
        Thread.sleep(STARTUP_MS)
        site.onLoop { schedule.forEach { due -> site.loop.after(due.atMs.milliseconds) { due.fault.begin(site, due.forMs) } } }
        Thread.sleep(options.faultPhaseS * 1000L + MAX_FAULT_TAIL_MS)
        val faultFreeSinceMs = site.onLoop { endFaults(site, users) }
        awaitCompletion(site)
        return site.onLoop { judge(site, schedule, faultFreeSinceMs) }
    }

    private fun awaitHealthy(site: SoakSite): Boolean {
        repeat(HEALTH_TRIES) {
            val healthy = java.util.concurrent.atomic
                .AtomicInteger()
            site.onLoop {
                repeat(options.nodes) { node ->
                    site.ask(node, Request(Method.GET, "/healthz")) {
                        if (it?.status ==
                            200
                        ) {
                            healthy.incrementAndGet()
                        }
                    }
                }
            }
            Thread.sleep(HEALTH_INTERVAL_MS)
            if (healthy.get() == options.nodes) return true
        }
        return false
    }

    /** Looks several times a second at what only time breaks, and whether the harness itself has stood still. */
    private fun watch(site: SoakSite) {
        if (!watching) return
        val now = site.loop.now().millis
        longestStallMs = maxOf(longestStallMs, now - lastTickMs - TICK_MS)
        lastTickMs = now
        site.referee.check()
        site.restartEnded()
        site.loop.after(TICK_MS.milliseconds) { watch(site) }
    }

    private fun endFaults(site: SoakSite, users: SoakUsers): Long {
        site.network.heal()
        site.state.outage = false
        site.controllers.forEach { it.resume() }
        site.workers.values.forEach { it.resume() }
        users.submitting = false
        users.cancelServices()
        return site.loop.now().millis
    }

    private fun awaitCompletion(site: SoakSite) {
        val began = System.nanoTime()
        Thread.sleep(MIN_FAULT_FREE_MS)
        while (System.nanoTime() - began < MAX_FAULT_FREE_MS * NANOS_PER_MS &&
            site.onLoop { site.referee.unfinished().isNotEmpty() }
        ) {
            Thread.sleep(TICK_MS)
        }
    }

    private fun judge(site: SoakSite, schedule: List<ScheduledFault>, faultFreeSinceMs: Long): SoakResult {
        val referee = site.referee
        referee.checkEnd(faultFreeSinceMs)
        val fault = site.fault
        return when {
            fault != null -> result(site, schedule, Verdict.INCONCLUSIVE, "the harness itself failed: $fault")
            longestStallMs > MAX_STALL_MS -> result(
                site,
                schedule,
                Verdict.INCONCLUSIVE,
                "the harness stood still for $longestStallMs ms",
            )
            referee.breaches.isNotEmpty() -> {
                val shown = referee.breaches.take(MAX_SHOWN_BREACHES).joinToString("; ")
                result(site, schedule, Verdict.FAILED, shown)
            }
            // A heap that was made too small on purpose ends controllers; nothing else may.
            options.heapMb == null && site.controllers.any { it.ownEnds.isNotEmpty() } ->
                result(site, schedule, Verdict.FAILED, "a controller ended by itself")
            referee.starts == 0 || referee.jobs.values.none { it.complete } -> result(site, schedule, Verdict.FAILED, "no job ran")
            schedule.isEmpty() || site.network.disturbed == 0 -> result(site, schedule, Verdict.FAILED, "no trouble happened")
            else -> result(site, schedule, Verdict.PASSED, "no rule broken")
        }
    }

    private fun result(site: SoakSite, schedule: List<ScheduledFault>, verdict: Verdict, why: String): SoakResult {
        val referee = site.referee
        val ends = site.controllers.flatMap { it.ownEnds }
        val refused = logsOf().sumOf { log ->
            Files.lines(log).use { lines -> lines.filter { "violation=" in it && " count=" in it }.count() }
        }
        val figures = "jobs ${referee.jobs.size}, done ${referee.jobs.values.count { it.status == "done" }}, " +
            "cancelled ${referee.jobs.values.count { it.status == "aborted" }}, starts ${referee.starts}, start delays ${describeDelays(
                referee.startDelaysMs(),
            )}, troubles ${schedule.size}, " +
            "messages disturbed ${site.network.disturbed}, commands repeated ${site.network.repeatedCommands}, " +
            "own ends ${ends.size}${if (ends.isEmpty()) "" else " with status $ends"}, " +
            "actions refused by the last check $refused, longest stall $longestStallMs ms"
        if (verdict == Verdict.PASSED) {
            if (ends.isEmpty() && refused == 0L) deleteFolder()
        } else {
            keep(referee, schedule, verdict, why, figures)
        }
        return SoakResult(seed, verdict, why, figures, folder)
    }

    private fun keep(referee: SoakReferee, schedule: List<ScheduledFault>, verdict: Verdict, why: String, figures: String) {
        val summary =
            listOf("seed $seed: $verdict, $why", figures, "", "schedule:") + schedule.map { "$it" } + "" + "breaches:" +
                referee.breaches.map { "$it" }
        Files.write(folder.resolve("summary.txt"), summary)
        Files.write(folder.resolve("events.txt"), referee.events)
    }

    private fun logsOf(): List<Path> = (0 until options.nodes).map { folder.resolve("controller-$it.log") }.filter { Files.exists(it) }

    private fun deleteFolder() {
        folder.toFile().deleteRecursively()
    }

    private companion object {
        const val MS_PER_S = 1000
        const val NANOS_PER_MS = 1_000_000L
        const val TICK_MS = 200L
        const val STARTUP_MS = 5_000L
        const val MAX_FAULT_TAIL_MS = 4_000L
        const val MIN_FAULT_FREE_MS = 18_000L
        const val MAX_FAULT_FREE_MS = 100_000L
        const val MAX_STALL_MS = 1_200L
        const val HEALTH_TRIES = 30
        const val HEALTH_INTERVAL_MS = 700L
        const val MAX_SHOWN_BREACHES = 6
    }
}
