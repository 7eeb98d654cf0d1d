package copperglade.sim

import copperglade.standin.StandInWorker

// Faults of a simulated site. Cuts last until [heal], lost messages until [stopLosingMessages].

// ---- processes ----

/** One of the next decisions of the controller ends in a fault, after [afterReadings] further readings of its clock. */
fun SimSite.injectFault(node: Int, afterReadings: Int) {
    controllers.loopOf(node).readingsUntilFault = afterReadings
}

/** The controller's next decision that reads the time of day ends in a fault: so does each that releases a waiting job. */
fun SimSite.injectFaultAtRelease(node: Int) {
    controllers.loopOf(node).faultAtWallClockReading = true
}

/** Starts the controller unless it runs. */
fun SimSite.startController(node: Int) = controllers.start(node)

/** Ends the controller's process now, and starts it again after [restartAfterMillis]. */
fun SimSite.crash(node: Int, restartAfterMillis: Double = SimControllers.RESTART_AFTER_MILLIS) = controllers.crash(node, restartAfterMillis)

/** Lets a controller's monotonic clock go [rate] times as fast, far beyond the protocol's bound. */
fun SimSite.setClockRate(node: Int, rate: Double) = controllers.loopOf(node).setClockRate(rate)

/** Pauses the controller's process for [durationMillis] while its clock runs on. */
fun SimSite.freezeController(node: Int, durationMillis: Double) = controllers.loopOf(node).freeze(durationMillis)

// ---- machines ----

/** The worker at [index] hangs until it is resumed. */
fun SimSite.hang(index: Int): StandInWorker? = machines.workers.elementAtOrNull(index)?.also { it.hanging = true }

/** The cloud takes the machine at [index] among those that are up. */
fun SimSite.killMachine(index: Int) = machines.kill(index)

fun SimSite.killMachineNamed(name: String) = machines.kill(name)

/** The machine loses power and is back at once; its worker's sequence numbers start again. */
fun SimSite.rebootMachine(index: Int) = machines.reboot(index)

// ---- partitions ----

/** Cuts a controller off from everybody, or only from the state service or the workers. */
fun SimSite.cutController(node: Int, from: String = "all") {
    val name = SimAddresses.controllerName(node)
    if (from != "workers") network.cut(name, "state")
    if (from == "all") {
        network.cut(name, "cloud")
        peersOf(node).forEach { network.cut(name, it) }
    }
    if (from != "state") machines.names.forEach { network.cut(name, it) }
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
    val worker = machines.names.elementAtOrNull(index) ?: return
    controllerNames().forEach { network.cut(it, worker) }
}

/** Cuts the machine off from all controllers but [node]. */
fun SimSite.cutMachineFromOthers(index: Int, node: Int) {
    val worker = machines.names.elementAtOrNull(index) ?: return
    peersOf(node).forEach { network.cut(it, worker) }
}

/** Holds back what controllers send to the machine, while what it sends reaches them. Returns its name; null: there is none. */
fun SimSite.cutTrafficToMachine(index: Int): String? {
    val worker = machines.names.elementAtOrNull(index) ?: return null
    controllerNames().forEach { network.cutOneWay(it, worker) }
    return worker
}

/** Holds back what these machines send, while all else is delivered. */
fun SimSite.holdHeartbeats(workers: Collection<String>) =
    workers.forEach { worker -> controllerNames().forEach { network.cutOneWay(worker, it) } }

/** Cuts a zone's controllers and machines off from everything outside it. */
fun SimSite.cutZone(zone: String) {
    val controllersIn = (0 until nodes).filter { zoneOfController(it) == zone }.map(SimAddresses::controllerName)
    val machinesIn = machines.workers.filter { it.zone == zone }.map { it.name }
    val outside = controllerNames() - controllersIn.toSet() + (machines.names - machinesIn.toSet())
    for (inside in controllersIn + machinesIn) {
        (outside + listOf("state", "cloud", "users")).forEach { network.cut(inside, it) }
    }
}

/** Cuts all controllers off from each other, and from nothing else. */
fun SimSite.cutPeers() {
    val names = controllerNames()
    for (one in names.indices) for (other in 0 until one) network.cut(names[one], names[other])
}

fun SimSite.heal() = network.heal()

// ---- refused and lost messages ----

/** The state service refuses this controller alone, until [serveController]. */
fun SimSite.refuseController(node: Int) = network.refuseCaller(SimAddresses.controllerName(node))

fun SimSite.serveController(node: Int) = network.serveCaller(SimAddresses.controllerName(node))

/** Loses answers and direct commands to these machines, while their heartbeats arrive. */
fun SimSite.loseCommandsTo(workers: Collection<String>) {
    network.losesMessage = { it.to in workers && (if (it.isAnswer) it.path == "/checkin" else it.path == "/do") }
}

/** Loses all requests of these machines, while direct commands reach them and are answered. */
fun SimSite.loseRequestsFrom(workers: Collection<String>) {
    network.losesMessage = { it.from in workers && !it.isAnswer }
}

fun SimSite.stopLosingMessages() {
    network.losesMessage = { false }
}
