package copperglade.app

import copperglade.controller.Controller
import copperglade.settings.InvalidSettingException
import copperglade.settings.OperatorProperties
import copperglade.settings.OperatorSettings
import copperglade.settings.PlatformSettings
import copperglade.transport.NettyEventLoop
import copperglade.transport.NettyHttpClient
import copperglade.transport.NettyHttpServer
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
import kotlin.time.Duration

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
        val settings = PlatformSettings.parse(Files.readAllBytes(file))
        val operatorSettings = properties?.let { OperatorProperties.read(it) } ?: OperatorSettings()
        run(settings, operatorSettings)
        Thread.currentThread().join()
        return 0
    }

    companion object {
        /** Starts a controller in this process; it goes on by itself. */
        fun run(settings: PlatformSettings, operatorSettings: OperatorSettings) {
            val shares = ConnectionLimits.of(settings.fileDescriptorLimit, settings.peers.size)
            val loop = NettyEventLoop()
            val heapBytes = HeapBudget.bytes(settings.memoryMb, ProcessHeap)
            val unlimitedEndpoints = settings.peers.mapTo(hashSetOf(settings.state, settings.cloud)) { it.endpoint }
            val caller = NettyHttpClient(loop, heapBytes, shares.workers, unlimitedEndpoints)
            val controller = Controller(loop, caller, settings, operatorSettings, heapBytes)
            NettyHttpServer(loop, shares.users, handler = controller.clientHandler)
                .listen(settings.clientListen)
            NettyHttpServer(loop, shares.peers, MAX_PEER_MESSAGE_BYTES, controller.clusterHandler)
                .listen(settings.clusterListen)
            loop.after(Duration.ZERO) {
                controller.start()
                HeapMonitor(loop, ProcessHeap, heapBytes).start()
            }
        }

        /**
         * A controller's status tells of each of its machines in some 150 bytes. With the 64 KiB of the protocol with users and
         * workers, the leader would refuse it from some 450 machines a controller on, and nothing more would be placed there.
         */
        const val MAX_PEER_MESSAGE_BYTES = 16 * 1024 * 1024
    }
}

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
    // Heap buffers only: the memory of the whole process is counted, and direct ones are freed late.
    System.setProperty("io.netty.noPreferDirect", "true")
    System.setProperty("io.netty.allocator.type", "unpooled")
    System.setProperty("io.netty.leakDetection.level", "disabled")
    // Netty would look through the network interfaces for a name that nothing here uses.
    System.setProperty("io.netty.machineId", "02:00:00:00:00:01")
    System.setProperty("io.netty.processId", "1")
    val line = CommandLine(Main())
    line.setExecutionExceptionHandler { fault, _, _ ->
        if (fault !is InvalidSettingException && fault !is IOException) throw fault
        System.err.println("copperglade: ${if (fault is IOException) "can't read $fault" else fault.message}")
        CommandLine.ExitCode.SOFTWARE
    }
    exitProcess(line.execute(*args))
}

private fun logLevel(asked: String?): String? = when (asked) {
    null, "", "info" -> "info"
    "error", "debug" -> asked
    else -> null
}
