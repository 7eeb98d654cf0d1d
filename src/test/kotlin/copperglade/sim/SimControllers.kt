package copperglade.sim

import copperglade.app.ProcessHeap
import copperglade.controller.Controller
import copperglade.safety.InvariantViolation
import copperglade.settings.OperatorSettings
import copperglade.settings.PlatformSettings
import copperglade.transport.FaultBarrier

/**
 * The controller processes of a simulated site: the program's own controllers on simulated clocks and connections.
 *
 * @param faultsEndProcess whether an error in a decision terminates the controller, as it does a real process; otherwise the test fails.
 * @param millisPerClockReading by how much a controller's clocks move on at each reading.
 */
class SimControllers(
    private val sim: Simulation,
    private val network: SimNetwork,
    private val settings: (node: Int) -> PlatformSettings,
    private val operatorSettings: (node: Int) -> OperatorSettings,
    private val faultsEndProcess: Boolean,
    private val millisPerClockReading: Double,
    private val onViolation: (InvariantViolation) -> Unit,
) {
    private class Process(val controller: Controller, val loop: SimLoop)

    private val processes = HashMap<Int, Process>()

    /** Starts the controller [node] unless it is running. */
    fun start(node: Int) {
        if (processes[node]?.loop?.alive == true) return
        val loop = SimLoop(sim, drift = node * CLOCK_DRIFT_PER_NODE)
        loop.millisPerReading = millisPerClockReading
        if (faultsEndProcess) loop.guard = FaultBarrier { crash(node, RESTART_AFTER_MILLIS) }::run
        val name = SimAddresses.controllerName(node)
        val caller = network.callerOf(name, loop)
        val controller =
            Controller(loop, caller, settings(node), operatorSettings(node), ProcessHeap.maxBytes) { onViolation(it) }
        processes[node] = Process(controller, loop)
        network.listen(SimAddresses.client(node), name, loop, controller.clientHandler)
        network.listen(SimAddresses.cluster(node), name, loop, controller.clusterHandler)
        controller.start()
    }

    /** Terminates the process now, and starts it again after [restartAfterMillis]. */
    fun crash(node: Int, restartAfterMillis: Double) {
        processes[node]?.loop?.alive = false
        sim.after(restartAfterMillis) { start(node) }
    }

    fun loopOf(node: Int): SimLoop = processes.getValue(node).loop

    companion object {
        const val RESTART_AFTER_MILLIS = 3000.0
        private const val CLOCK_DRIFT_PER_NODE = 0.0001
    }
}
