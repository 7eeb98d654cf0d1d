package copperglade.soak

import copperglade.settings.InvalidSettingException
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import kotlin.system.exitProcess

/** Plays the runs of [options], as many at once as they say, and tells of each as it ends. */
fun playAll(options: SoakOptions): List<SoakResult> {
    val pool = Executors.newFixedThreadPool(options.atOnce)
    try {
        val seeds = options.firstSeed until options.firstSeed + options.runs
        val runs = seeds.map { seed -> pool.submit(Callable { SoakRun(options, seed).play().also(::tell) }) }
        return runs.map { it.get() }
    } finally {
        pool.shutdownNow()
    }
}

private fun tell(result: SoakResult) {
    println("seed ${result.seed}: ${result.verdict}: ${result.why}")
    println("  ${result.figures}")
    if (result.verdict != Verdict.PASSED) println("  kept in ${result.folder.toAbsolutePath()}")
}

/** By hand: `mvn -q exec:java ... -Dexec.args="seed=1 runs=50 at-once=4"`; see `docs/operations.md`. */
fun main(arguments: Array<String>) {
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", "error")
    val options = try {
        SoakOptions.parse(arguments.toList())
    } catch (bad: InvalidSettingException) {
        System.err.println("soak: ${bad.message}")
        exitProcess(2)
    }
    val results = playAll(options)
    val counts = Verdict.entries.associateWith { verdict -> results.count { it.verdict == verdict } }
    println(counts.entries.joinToString(", ") { (verdict, count) -> "${verdict.name.lowercase()} $count" })
    exitProcess(if (counts[Verdict.PASSED] == results.size) 0 else 1)
}
