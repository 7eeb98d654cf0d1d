package copperglade.soak

import copperglade.soak.SoakNetwork.Companion.STATE
import kotlin.time.Duration.Companion.milliseconds

/** One kind of fault: it begins at once, lasts about [begin]'s milliseconds, and ends by itself. */
class SoakFault(val name: String, val begin: SoakSite.(ms: Int) -> Unit)

/** A fault at its time; the seed fixes the schedule, but not the real timing of what it affects. */
class ScheduledFault(val atMs: Int, val fault: SoakFault, val forMs: Int) {
    override fun toString() = "at $atMs ms: ${fault.name} for $forMs ms"
}

/** All kinds of faults, and schedules of two or three of them at a time. */
object SoakFaults {
    private fun SoakSite.later(ms: Int, action: () -> Unit) = loop.after(ms.milliseconds, action)

    private fun SoakSite.nodes() = 0 until options.nodes

    private fun SoakSite.anyNode() = random.nextInt(options.nodes)

    private fun SoakSite.leaderOrAny() = leader() ?: anyNode()

    private fun SoakSite.someWorkers() = workers.keys.filter { random.nextInt(3) == 0 }.toSet()

    private fun SoakSite.anyWorker(): String? = workers.keys
        .toList()
        .takeIf { it.isNotEmpty() }
        ?.let { it[random.nextInt(it.size)] }

    private fun SoakSite.cutFor(ms: Int, pairs: List<Pair<String, String>>) {
        pairs.forEach { (one, other) -> network.cutBothWays(one, other) }
        later(ms) { pairs.forEach { (one, other) -> network.endCutBothWays(one, other) } }
    }

    private fun SoakSite.peersOf(node: Int) = (nodes() - node).flatMap { listOf(name(node) to name(it)) }

    private fun SoakSite.loseFor(ms: Int, loses: (Passage) -> Boolean) {
        val before = network.loses
        network.loses = { before(it) || loses(it) }
        later(ms) { network.loses = before }
    }

    private fun SoakSite.repeatCommandsFor(ms: Int) {
        network.repeatedCommandOneIn = 1
        later(ms) { if (network.repeatedCommandOneIn > 0) network.repeatedCommandOneIn = BACKGROUND_REPEATED_COMMAND_ONE_IN }
    }

    private val all = listOf(
        SoakFault("a controller ends") { _ -> crash(anyNode(), 100 + random.nextInt(3_000)) },
        SoakFault("the leader ends") { _ -> crash(leaderOrAny(), 100 + random.nextInt(3_000)) },
        SoakFault("all controllers end") { _ -> nodes().forEach { crash(it, 100 + random.nextInt(5_000)) } },
        SoakFault("leaders change in series") { ms ->
            repeat(4) { round ->
                later(round * ms / 4) {
                    crash(
                        leaderOrAny(),
                        100 + random.nextInt(900),
                    )
                }
            }
        },
        SoakFault("a controller stands still") { ms ->
            val paused = controllers[anyNode()]
            paused.pause()
            later(ms) { paused.resume() }
        },
        SoakFault("the leader stands still") { ms ->
            val paused = controllers[leaderOrAny()]
            paused.pause()
            later(ms) { paused.resume() }
        },
        SoakFault("the state service refuses everybody") { ms ->
            state.outage = true
            later(ms) { state.outage = false }
        },
        SoakFault("the state service hangs") { ms -> cutFor(ms, nodes().map { name(it) to STATE }) },
        SoakFault("the state service refuses the leader alone") { ms ->
            val refused = name(leaderOrAny())
            network.refused += refused
            later(ms) { network.refused -= refused }
        },
        SoakFault("a controller loses the state service") { ms -> cutFor(ms, listOf(name(anyNode()) to STATE)) },
        SoakFault("a controller loses the state service and the others") { ms ->
            val node = anyNode()
            cutFor(ms, peersOf(node) + (name(node) to STATE))
        },
        SoakFault("a controller loses the workers") { ms ->
            val node = anyNode()
            cutFor(ms, workers.keys.map { name(node) to it })
        },
        SoakFault("controllers can't reach each other") { ms ->
            cutFor(
                ms,
                nodes().flatMap { node ->
                    nodes().filter { it < node }.map {
                        name(node) to
                            name(it)
                    }
                },
            )
        },
        SoakFault("transactions are carried out late, without an answer") { ms ->
            network.lateWriteOneIn = 6
            later(ms) { network.lateWriteOneIn = 0 }
        },
        SoakFault("answers to transactions are lost") { ms ->
            network.lostAnswerOneIn = 5
            later(ms) { network.lostAnswerOneIn = 0 }
        },
        SoakFault("reports come again, late") { ms ->
            network.lateHeartbeatOneIn = 4
            later(ms) { network.lateHeartbeatOneIn = 0 }
        },
        SoakFault("commands come late, unanswered") { ms ->
            network.lateCommandOneIn = 4
            later(ms) { network.lateCommandOneIn = 0 }
        },
        SoakFault("executed commands come again") { ms -> repeatCommandsFor(ms) },
        SoakFault("executed commands come again, and machines are back at once") { ms ->
            repeatCommandsFor(ms)
            repeat(4) { round -> later(round * ms / 4) { anyWorker()?.let(::rebootMachine) } }
        },
        SoakFault("machines are deaf") { ms ->
            val deaf = someWorkers()
            loseFor(ms) { it.to in deaf }
        },
        SoakFault("machines are mute") { ms ->
            val mute = someWorkers()
            loseFor(ms) { it.from in mute && !it.answer }
        },
        SoakFault("machines are cut off") { ms ->
            val cut = someWorkers()
            cutFor(ms, cut.flatMap { worker -> nodes().map { name(it) to worker } })
        },
        SoakFault("machines hang") { ms ->
            val hanging = someWorkers().mapNotNull { workers[it] }
            hanging.forEach { it.hanging = true }
            later(ms) { hanging.forEach { it.resume() } }
        },
        SoakFault("machines are gone") { _ -> repeat(2) { anyWorker()?.let(::killMachine) } },
        SoakFault("machines are back at once") { _ -> repeat(3) { anyWorker()?.let(::rebootMachine) } },
        SoakFault("machines are back at once, and then cut off for longer than a lease") { ms ->
            repeat(2) {
                val worker = anyWorker() ?: return@SoakFault
                rebootMachine(worker)
                later(MIN_REBOOT_MS + random.nextInt(MAX_FAULT_MS / 4)) {
                    cutFor(ms + LONGER_THAN_LEASE_MS, nodes().map { name(it) to worker })
                }
            }
        },
        SoakFault("links are slow") { ms ->
            network.delayMs = { if (it.path == SoakNetwork.COMMAND || it.from == STATE) random.nextInt(900) else 0 }
            later(ms) { network.delayMs = { 0 } }
        },
    )

    /** Waves of two or three faults at once, within [lengthMs]. */
    fun schedule(random: java.util.Random, lengthMs: Int): List<ScheduledFault> = (0 until lengthMs step WAVE_MS).flatMap { wave ->
        all.shuffled(random).take(2 + random.nextInt(2)).map { fault ->
            ScheduledFault(wave + random.nextInt(WAVE_MS / 3), fault, MIN_FAULT_MS + random.nextInt(MAX_FAULT_MS - MIN_FAULT_MS))
        }
    }

    /** How many executed commands there are for each one that comes again, all the time. */
    const val BACKGROUND_REPEATED_COMMAND_ONE_IN = 3
    private const val WAVE_MS = 8_000
    private const val MIN_FAULT_MS = 1_500
    private const val MAX_FAULT_MS = 9_000
    private const val MIN_REBOOT_MS = 200
    private const val LONGER_THAN_LEASE_MS = 7_000
}
