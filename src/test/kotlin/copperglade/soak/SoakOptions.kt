package copperglade.soak

import copperglade.settings.InvalidSettingException
import java.nio.file.Path

/** What a soak runs, as checked. */
class SoakOptions(
    val firstSeed: Long = 1,
    val runs: Int = 1,
    val workers: Int = 12,
    val nodes: Int = 3,
    val faultPhaseS: Int = 30,
    val heapMb: Int? = null,
    val atOnce: Int = 1,
    val keepIn: Path = Path.of("target/soak"),
) {
    companion object {
        private const val USAGE = "options: seed=N runs=N workers=N nodes=3|5 seconds=N heap=MB at-once=N keep=FOLDER"
        private val RUNS = 1..1000
        private val WORKERS = 2..400
        private val SECONDS = 5..3600
        private val HEAP = 8..1024
        private val AT_ONCE = 1..8

        /** Options in the form `name=value`; a bad one ends with one line that names it. */
        fun parse(words: List<String>): SoakOptions {
            val given = HashMap<String, String>()
            for (word in words) {
                val name = word.substringBefore('=')
                if ('=' !in word) throw InvalidSettingException("$word: not of the form name=value; $USAGE")
                if (given.put(name, word.substringAfter('=')) != null) throw InvalidSettingException("$name: given twice")
            }
            val usual = SoakOptions()
            val options = SoakOptions(
                firstSeed =
                    given.remove("seed")?.let { it.toLongOrNull() ?: throw InvalidSettingException("seed: not a whole number") }
                        ?: usual.firstSeed,
                runs = given.whole("runs", RUNS) ?: usual.runs,
                workers = given.whole("workers", WORKERS) ?: usual.workers,
                nodes = given.whole("nodes", 3..5) ?: usual.nodes,
                faultPhaseS = given.whole("seconds", SECONDS) ?: usual.faultPhaseS,
                heapMb = given.whole("heap", HEAP),
                atOnce = given.whole("at-once", AT_ONCE) ?: usual.atOnce,
                keepIn = given.remove("keep")?.let { Path.of(it) } ?: usual.keepIn,
            )
            given.keys.firstOrNull()?.let { throw InvalidSettingException("$it: unknown option; $USAGE") }
            if (options.nodes == 4) throw InvalidSettingException("nodes: 3 or 5")
            return options
        }

        private fun HashMap<String, String>.whole(name: String, range: IntRange): Int? {
            val text = remove(name) ?: return null
            val number = text.toIntOrNull() ?: throw InvalidSettingException("$name: not a whole number")
            if (number !in range) throw InvalidSettingException("$name: must be from ${range.first} to ${range.last}")
            return number
        }
    }
}
