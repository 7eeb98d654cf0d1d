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

/** The command line: `--config`, `--properties` and the subcommand for the build. */
@Command(
    name = "copperglade",
    description = ["A cluster scheduler; this runs one controller until something ends it."],
    mixinStandardHelpOptions = true,
    versionProvider = Version::class,
    subcommands = [ClassDataSharingTraining::class],
)
class Main : Callable<Int> {
    @Option(names = ["--config"], paramLabel = "FILE", description = ["The platform's settings (JSON); required."])
    var config: Path? = null

    @Option(
        names = ["--properties"],
        paramLabel = "FILE",
        description = ["The operators' own settings (Java properties)."],
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

/** The version of the packaged program. */
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

/** Netty reads these properties when its classes are loaded, so they must be set before. */
private fun configureNetty() {
    // Heap buffers only: the memory of the whole process is counted, and direct buffers are freed late.
    System.setProperty("io.netty.noPreferDirect", "true")
    System.setProperty("io.netty.allocator.type", "unpooled")
    System.setProperty("io.netty.leakDetection.level", "disabled")
    // Without these, Netty searches the network interfaces for an id that nothing here uses.
    System.setProperty("io.netty.machineId", "02:00:00:00:00:01")
    System.setProperty("io.netty.processId", "1")
}

/** The level to log at; null where [requested] is none. */
private fun logLevel(requested: String?): String? = when (requested) {
    null, "", "info" -> "info"
    "error", "debug" -> requested
    else -> null
}
