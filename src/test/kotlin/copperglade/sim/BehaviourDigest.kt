package copperglade.sim

import java.io.File
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import kotlin.system.exitProcess

/** What the command line asks for; everything by default. */
class DigestOptions(val seeds: LongRange, val scenarios: List<DigestScenario>, val trace: File?) {
    companion object {
        private val SEEDS = Regex("""(\d{1,9})(?:-(\d{1,9}))?""")

        /** Reads `seeds=1-6`, `scenario=NAME` and `trace=FILE`, or throws [IllegalArgumentException] with what is wrong. */
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
            require(!seeds.isEmpty()) { "seeds=$text is empty" }
            return seeds
        }

        private fun parseTrace(name: String): File {
            require(name.isNotEmpty()) { "trace needs a file" }
            return File(name)
        }

        private fun parseScenario(name: String) = digestScenarios.filter { it.name == name }.ifEmpty {
            throw IllegalArgumentException("unknown scenario $name; known: ${digestScenarios.joinToString(" ") { it.name }}")
        }
    }
}

/** Plays [scenario] once and returns the line to print; what is digested goes to [trace] too if that is given. */
private fun digestLine(scenario: DigestScenario, seed: Long, trace: File?): String {
    val stream = trace?.outputStream()?.buffered()
    val digest = WireDigest(stream)
    stream.use { scenario.simulate(seed, digest) }
    return "scenario=${scenario.name} seed=$seed messages=${digest.messages} digest=${digest.hex()}"
}

private const val THREADS = 4
private const val STATUS_BAD_OPTION = 2

/** With a trace, each scenario and seed has a file of its own, named after it; a single one has just the given file. */
private fun DigestOptions.traceOf(scenario: DigestScenario, seed: Long): File? = when {
    trace == null -> null
    scenarios.size == 1 && seeds.first == seeds.last -> trace
    else -> File("$trace.${scenario.name}.$seed")
}

/** Prints one line per scenario and seed with a digest of all messages, to compare the behaviour of two builds. */
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
