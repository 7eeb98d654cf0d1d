package copperglade.soak

import java.io.File
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit

/** One controller as a child process, started from the built jar with the command of `deploy/service.toml`. */
class ControllerProcess(private val command: List<String>, private val settings: Path, private val log: File) {
    private var process: Process? = null
    private var paused = false

    val isRunning: Boolean get() = process?.isAlive ?: false

    /** How often it has ended by itself, and with which exit statuses. */
    val ownEnds = ArrayList<Int>()
    private var ending = false

    fun start() {
        if (isRunning) return
        ending = false
        paused = false
        process = ProcessBuilder(command + settings.toString())
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
            .also { it.environment()["LOG_LEVEL"] = System.getProperty(LOG_LEVEL_PROPERTY, "info") }
            .start()
    }

    /** Takes note if it has ended though nobody ended it; whether it has. */
    fun noteOwnEnd(): Boolean {
        val present = process ?: return false
        if (present.isAlive || ending) return false
        ownEnds += present.exitValue()
        process = null
        return true
    }

    fun kill() {
        ending = true
        process?.destroyForcibly()?.waitFor(MAX_END_S, TimeUnit.SECONDS)
    }

    /** Stops it where it stands, its clocks running on. */
    fun pause() {
        if (isRunning && !paused) paused = signal("STOP")
    }

    fun resume() {
        if (isRunning && paused) paused = !signal("CONT")
    }

    private fun signal(name: String): Boolean = ProcessBuilder("kill", "-$name", "${process?.pid()}").start().waitFor() == 0

    companion object {
        const val LOG_LEVEL_PROPERTY = "soak.log"
        private const val MAX_END_S = 5L

        /** The start command of `deploy/service.toml`, with another heap where one is asked for. */
        fun startCommand(repository: Path, heapMb: Int?): List<String> {
            val line = Files.readAllLines(repository.resolve("deploy/service.toml")).first { it.startsWith("run = ") }
            val words = line.substringAfter('"').substringBeforeLast('"').split(' ')
            check(Files.exists(repository.resolve("target/copperglade.jar"))) { "target/copperglade.jar: not built" }
            return words.map { word ->
                when {
                    word.startsWith("-Xmx") && heapMb != null -> "-Xmx${heapMb}m"
                    word.startsWith("-Xms") && heapMb != null -> "-Xms${heapMb / 2}m"
                    word.startsWith("-Xmn") && heapMb != null -> "-Xmn${heapMb / 4}m"
                    word.startsWith("-XX:SharedArchiveFile=") -> "-XX:SharedArchiveFile=${repository.resolve("target/copperglade.jsa")}"
                    word == "target/copperglade.jar" -> "${repository.resolve(word)}"
                    else -> word
                }
            }
        }
    }
}
