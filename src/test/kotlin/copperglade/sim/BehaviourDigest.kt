package copperglade.sim

import java.io.File
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import kotlin.system.exitProcess

/** The options of the command line. By default all scenarios run with the seeds 1 to 6, without a trace. */
class DigestOptions(val seeds: LongRange, val scenarios: List<DigestScenario>, val trace: File?) {
    companion object {
        private val SEEDS = Regex("""(\d{1,9})(?:-(\d{1,9}))?""")

        /**
         * Parses the options `seeds=1-6`, `scenario=NAME` and `trace=FILE`.
         *
         * @throws IllegalArgumentException if an option or a scenario is unknown, or a value is malformed or empty.
         */
        fun parse(args: Array<String>): DigestOptions {
            val options = args.associate { it.substringBefore('=') to it.substringAfter('=', "") }
            options.keys.firstOrNull { it !in listOf("seeds", "scenario", "trace") }?.let { option ->
                throw IllegalArgumentException("unknown option $option; known: seeds=1-6 scenario=NAME trace=FILE")
            }
            return DigestOptions(
                seeds = parseSeeds(options["seeds"] ?: "1-6"),
                scenarios = options["scenario"]?.let(::parseScenario) ?: digestScenarios,
                trace = options["trace"]?.let(::parseTrace),
            )
        }

        private fun parseSeeds(text: String): LongRange {
            val (first, last) = requireNotNull(SEEDS.matchEntire(text)) { "seeds=$text is neither a number nor a range such as 1-6" }
                .destructured
            val seeds = first.toLong()..last.ifEmpty { first }.toLong()
            require(!seeds.isEmpty()) { "seeds=$text is an empty range; the first seed must not exceed the last" }
            return seeds
        }

        private fun parseTrace(name: String): File {
            require(name.isNotEmpty()) { "trace= has no value; expected a file name" }
            return File(name)
        }

        private fun parseScenario(name: String) = digestScenarios.filter { it.name == name }.ifEmpty {
            throw IllegalArgumentException("unknown scenario $name; known: ${digestScenarios.joinToString(" ") { it.name }}")
        }
    }
}

/** Runs [scenario] once and returns the line to print. The digested bytes are written to [trace] too, unless [trace] is null. */
private fun digestLine(scenario: DigestScenario, seed: Long, trace: File?): String {
    val stream = trace?.outputStream()?.buffered()
    val digest = WireDigest(stream)
    stream.use { scenario.simulate(seed, digest) }
    return "scenario=${scenario.name} seed=$seed messages=${digest.messages} digest=${digest.hex()}"
}

private const val THREADS = 4
private const val STATUS_BAD_OPTION = 2

/**
 * Returns the trace file of one run, or null if no trace is requested. A single run uses the given file; of several runs, each has a file
 * of its own whose name ends in the scenario and the seed.
 */
private fun DigestOptions.traceOf(scenario: DigestScenario, seed: Long): File? = when {
    trace == null -> null
    scenarios.size == 1 && seeds.first == seeds.last -> trace
    else -> File("$trace.${scenario.name}.$seed")
}

/** Prints one line per scenario and seed with a digest of all messages. Two builds of equal behaviour print equal lines. */
fun main(args: Array<String>) {
    val options = try {
        DigestOptions.parse(args)
    } catch (problem: IllegalArgumentException) {
        System.err.println(problem.message)
        exitProcess(STATUS_BAD_OPTION)
    }
    val pool = Executors.newFixedThreadPool(THREADS)
    try {
        val lines = options.scenarios.flatMap { scenario ->
            options.seeds.map { seed -> pool.submit(Callable { digestLine(scenario, seed, options.traceOf(scenario, seed)) }) }
        }
        lines.forEach { println(it.get()) }
    } finally {
        pool.shutdownNow()
    }
}
