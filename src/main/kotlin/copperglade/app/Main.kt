package copperglade.app

import copperglade.settings.InvalidSettingException
import copperglade.settings.OperatorProperties
import copperglade.settings.OperatorSettings
import copperglade.settings.PlatformSettingsParser
import picocli.CommandLine
import picocli.CommandLine.Command
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Option
import picocli.CommandLine.Spec
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.Callable
import kotlin.system.exitProcess

/** The command line: `--config`, `--properties` and the hidden subcommand for the build. */
@Command(
    name = "copperglade",
    description = ["Runs one controller of the cluster scheduler until the process is terminated."],
    mixinStandardHelpOptions = true,
    versionProvider = Version::class,
    subcommands = [ClassDataSharingTraining::class],
)
class Main : Callable<Int> {
    @Option(names = ["--config"], paramLabel = "FILE", description = ["The platform's settings file (JSON); required."])
    var config: Path? = null

    @Option(
        names = ["--properties"],
        paramLabel = "FILE",
        description = ["The operators' settings file (Java properties); optional."],
    )
    var properties: Path? = null

    @Spec
    lateinit var spec: CommandSpec

    override fun call(): Int {
        val file =
            config ?: throw CommandLine.ParameterException(spec.commandLine(), "missing required option --config")
        val settings = PlatformSettingsParser.parse(Files.readAllBytes(file))
        val operatorSettings = properties?.let { OperatorProperties.read(it) } ?: OperatorSettings()
        ControllerLauncher.start(settings, operatorSettings)
        Thread.currentThread().join()
        return 0
    }
}

/** Prints the implementation version of the jar. */
class Version : CommandLine.IVersionProvider {
    override fun getVersion() = arrayOf(
        "copperglade ${Main::class.java.`package`?.implementationVersion ?: "(not packaged)"}",
    )
}

fun main(args: Array<String>) {
    val level = logLevel(System.getenv("LOG_LEVEL"))
    if (level == null) {
        System.err.println("copperglade: LOG_LEVEL must be error, info or debug")
        exitProcess(CommandLine.ExitCode.USAGE)
    }
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", level)
    configureNetty()
    val commandLine = CommandLine(Main())
    commandLine.setExecutionExceptionHandler { fault, _, _ ->
        if (fault !is InvalidSettingException && fault !is IOException) throw fault
        System.err.println("copperglade: ${if (fault is IOException) "can't read $fault" else fault.message}")
        CommandLine.ExitCode.SOFTWARE
    }
    exitProcess(commandLine.execute(*args))
}

/** Sets Netty's system properties. Netty reads them when its classes are loaded, so this function must be called before. */
private fun configureNetty() {
    // Heap buffers only: the memory limit applies to the whole process, and direct buffers are freed late.
    System.setProperty("io.netty.noPreferDirect", "true")
    System.setProperty("io.netty.allocator.type", "unpooled")
    System.setProperty("io.netty.leakDetection.level", "disabled")
    // Without these, Netty searches the network interfaces for an id, which the program doesn't use.
    System.setProperty("io.netty.machineId", "02:00:00:00:00:01")
    System.setProperty("io.netty.processId", "1")
}

/** The log level for [requested], by default `info`; null where [requested] is not a supported level. */
private fun logLevel(requested: String?): String? = when (requested) {
    null, "", "info" -> "info"
    "error", "debug" -> requested
    else -> null
}
