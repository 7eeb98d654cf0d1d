package copperglade.sim

import copperglade.standin.StandInWorker

// Faults of a simulated site. Cuts last until [heal], lost messages until [stopLosingMessages].

/** Makes the controller's clock throw an error after [afterReadings] further readings, so that the decision that reads it fails. */
fun SimSite.injectFault(node: Int, afterReadings: Int) {
    controllers.loopOf(node).readingsUntilFault = afterReadings
}

/** Makes the controller's next decision that reads the time of day fail. Each decision that releases a waiting job reads it. */
fun SimSite.injectFaultAtRelease(node: Int) {
    controllers.loopOf(node).faultAtWallClockReading = true
}

/** Starts the controller unless it is running. */
fun SimSite.startController(node: Int) = controllers.start(node)

/** Terminates the controller's process now, and starts it again after [restartAfterMillis]. */
fun SimSite.crash(node: Int, restartAfterMillis: Double = SimControllers.RESTART_AFTER_MILLIS) = controllers.crash(node, restartAfterMillis)

/** Runs a controller's monotonic clock at [rate] times real time, which exceeds the clock drift that the protocol tolerates. */
fun SimSite.setClockRate(node: Int, rate: Double) = controllers.loopOf(node).setClockRate(rate)

/** Pauses the controller's process for [durationMillis] while its clock continues. */
fun SimSite.freezeController(node: Int, durationMillis: Double) = controllers.loopOf(node).freeze(durationMillis)

/** Makes the worker at [index] hang until it is resumed. Returns the worker, or null if there is none at [index]. */
fun SimSite.hang(index: Int): StandInWorker? = machines.workers.elementAtOrNull(index)?.also { it.hanging = true }

/** Makes the cloud terminate the machine at [index] among those that are up. */
fun SimSite.killMachine(index: Int) = machines.kill(index)

/** Makes the cloud terminate the machine [name]. */
fun SimSite.killMachineNamed(name: String) = machines.kill(name)

/** Cuts the power of a machine, which boots again at once; its worker's sequence numbers restart. */
fun SimSite.rebootMachine(index: Int) = machines.reboot(index)

/** Cuts the power of the machine [name], which boots again after [offMillis]; its worker's sequence numbers restart. */
fun SimSite.rebootMachineNamed(name: String, offMillis: Double) = machines.reboot(name, offMillis)

/** Cuts a controller off from all hosts, or only from the state service (`state`) or the workers (`workers`). */
fun SimSite.cutController(node: Int, from: String = "all") {
    val name = SimAddresses.controllerName(node)
    if (from != "workers") network.cut(name, "state")
    if (from == "all") {
        network.cut(name, "cloud")
        peersOf(node).forEach { network.cut(name, it) }
    }
    if (from != "state") machines.workerNames.forEach { network.cut(name, it) }
}

/** Cuts a controller off from the state service, the cloud and the other controllers, but not from its workers. */
fun SimSite.isolateController(node: Int) {
    val name = SimAddresses.controllerName(node)
    network.cut(name, "state")
    network.cut(name, "cloud")
    peersOf(node).forEach { network.cut(name, it) }
}

private fun SimSite.peersOf(node: Int) = (0 until nodes).filter { it != node }.map(SimAddresses::controllerName)

private fun SimSite.controllerNames() = (0 until nodes).map(SimAddresses::controllerName)

/** Cuts the machine off from all controllers. */
fun SimSite.cutMachine(index: Int) {
    val workerName = machines.workerNames.elementAtOrNull(index) ?: return
    controllerNames().forEach { network.cut(it, workerName) }
}

/** Cuts the machine [name] off from all controllers. */
fun SimSite.cutMachineNamed(name: String) = controllerNames().forEach { network.cut(it, name) }

/** Cuts the machine off from all controllers but [node]. */
fun SimSite.cutMachineFromOthers(index: Int, node: Int) {
    val workerName = machines.workerNames.elementAtOrNull(index) ?: return
    peersOf(node).forEach { network.cut(it, workerName) }
}

/**
 * Holds back the messages from controllers to the machine at [index], but not those in the other direction. Returns the name of the
 * machine, or null if there is none at [index].
 */
fun SimSite.cutTrafficToMachine(index: Int): String? {
    val workerName = machines.workerNames.elementAtOrNull(index) ?: return null
    controllerNames().forEach { network.cutOneWay(it, workerName) }
    return workerName
}

/** Holds back the messages from these machines to controllers, but not those in the other direction. */
fun SimSite.holdHeartbeats(workers: Collection<String>) =
    workers.forEach { workerName -> controllerNames().forEach { network.cutOneWay(workerName, it) } }

/** Cuts a zone's controllers and machines off from all hosts outside the zone. */
fun SimSite.cutZone(zone: String) {
    val controllersIn = (0 until nodes).filter { zoneOfController(it) == zone }.map(SimAddresses::controllerName)
    val machinesIn = machines.workers.filter { it.zone == zone }.map { it.name }
    val outside = controllerNames() - controllersIn.toSet() + (machines.workerNames - machinesIn.toSet())
    for (inside in controllersIn + machinesIn) {
        (outside + listOf("state", "cloud", "users")).forEach { network.cut(inside, it) }
    }
}

/** Cuts all controllers off from each other, but from no other host. */
fun SimSite.cutPeers() {
    val names = controllerNames()
    for (one in names.indices) for (other in 0 until one) network.cut(names[one], names[other])
}

/** Ends all cuts, and delivers the messages that were held back. */
fun SimSite.heal() = network.heal()

/** Makes the state service refuse this controller alone, until [serveController]. */
fun SimSite.refuseController(node: Int) = network.refuseCaller(SimAddresses.controllerName(node))

fun SimSite.serveController(node: Int) = network.serveCaller(SimAddresses.controllerName(node))

/** Loses the answers and direct commands to these machines, while their heartbeats reach the controllers. */
fun SimSite.loseCommandsTo(workers: Collection<String>) {
    network.losesMessage = { it.to in workers && (if (it.isAnswer) it.path == "/checkin" else it.path == "/do") }
}

/** Loses all requests of these machines, while direct commands reach the machines and are answered. */
fun SimSite.loseRequestsFrom(workers: Collection<String>) {
    network.losesMessage = { it.from in workers && !it.isAnswer }
}

fun SimSite.stopLosingMessages() {
    network.losesMessage = { false }
}
