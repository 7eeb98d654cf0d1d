package copperglade.sim

/**
 * Faults of a simulated site. Each begins at once, and ends after about the given number of seconds or at [recover] at the latest. Seeded
 * tests pick faults by their position, so a change of the order changes these tests.
 */
enum class SiteFault(private val action: SimSite.(seconds: Double) -> Unit) {
    STATE_OUTAGE({ seconds ->
        state.outage = true
        after(seconds) { state.outage = false }
    }),
    LEADER_REFUSED({ seconds -> (leader() ?: 0).let { node -> refuseController(node).also { after(seconds) { serveController(node) } } } }),
    CONTROLLER_ISOLATED({ seconds -> isolateController(randomNode()).also { after(seconds) { heal() } } }),
    CONTROLLER_CUT_FROM_WORKERS({ seconds -> cutController(randomNode(), "workers").also { after(seconds) { heal() } } }),
    ZONE_CUT({ seconds -> cutZone(SimSite.ZONES[sim.random.nextInt(2)]).also { after(seconds) { heal() } } }),
    PEERS_CUT({ seconds -> cutPeers().also { after(seconds) { heal() } } }),
    LEADER_CRASH({ _ -> crash(leader() ?: 0, 150.0 + sim.random.nextInt(5000)) }),
    ALL_CONTROLLERS_CRASH({ _ -> (0 until nodes).forEach { crash(it, 200.0 + sim.random.nextInt(9000)) } }),
    CONTROLLER_FROZEN({ seconds -> freezeController(randomNode(), seconds * 1000) }),
    COMMANDS_LOST({ seconds -> loseCommandsTo(randomWorkers()).also { after(seconds) { stopLosingMessages() } } }),
    MACHINE_REQUESTS_LOST({ seconds -> loseRequestsFrom(randomWorkers()).also { after(seconds) { stopLosingMessages() } } }),
    HEARTBEATS_HELD_BACK({ seconds -> holdHeartbeats(randomWorkers()).also { after(seconds) { heal() } } }),
    MACHINES_HANG({ seconds -> repeat(3) { hang(sim.random.nextInt(8))?.let { worker -> after(seconds) { worker.resume() } } } }),
    MACHINE_KILLED({ _ -> if (workerCount() > 0) killMachine(sim.random.nextInt(workerCount())) }),
    MACHINE_REBOOTED({ _ -> if (workerCount() > 0) rebootMachine(sim.random.nextInt(workerCount())) }),
    LATE_WRITES({ seconds ->
        network.lateWriteOneIn = 5
        after(seconds) { network.lateWriteOneIn = 0 }
    }),
    LATE_HEARTBEAT_COPIES({ seconds ->
        network.duplicateOneIn = 3
        after(seconds) { network.duplicateOneIn = 0 }
    }),
    MESSAGES_DELAYED({ seconds ->
        network.delayMillis = { if (it.path == "/do" || it.from == "state") sim.random.nextInt(900).toDouble() else 0.0 }
        after(seconds) { network.delayMillis = { 0.0 } }
    }),
    ODD_REQUESTS({ seconds -> repeat(20) { after(it * seconds / 20) { sendOddRequest() } } }),
    EXECUTED_COMMANDS_REPEATED({ seconds ->
        network.repeatCommandOneIn = 2
        after(seconds) { network.repeatCommandOneIn = 0 }
    }),
    ;

    /** Injects the fault into [site] for about [seconds]. */
    fun begin(site: SimSite, seconds: Double) = site.action(seconds)
}

/** Calls [action] after [seconds] of simulated time. */
internal fun SimSite.after(seconds: Double, action: () -> Unit) = sim.after(seconds * 1000, action)

private fun SimSite.randomNode() = sim.random.nextInt(nodes)

private fun SimSite.randomWorkers() = workerNames().filter { sim.random.nextInt(3) == 0 }
