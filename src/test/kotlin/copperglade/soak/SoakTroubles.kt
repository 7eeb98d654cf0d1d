package copperglade.soak

import copperglade.soak.SoakNetwork.Companion.STATE
import kotlin.time.Duration.Companion.milliseconds

/** One kind of trouble: it begins at once, lasts about as long as it is told, and ends by itself. */
class Trouble(val name: String, val begin: SoakSite.(ms: Int) -> Unit)

/** A trouble at its time; fixed by the seed, while what it meets is up to the real timing. */
class Scheduled(val atMs: Int, val trouble: Trouble, val forMs: Int) {
    override fun toString() = "at $atMs ms: ${trouble.name} for $forMs ms"
}

/** All kinds of trouble, and schedules of two or three of them at a time. */
object SoakTroubles {
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
        later(ms) { pairs.forEach { (one, other) -> network.mendBothWays(one, other) } }
    }

    private fun SoakSite.peersOf(node: Int) = (nodes() - node).flatMap { listOf(name(node) to name(it)) }

    private fun SoakSite.loseFor(ms: Int, loses: (Passage) -> Boolean) {
        val before = network.loses
        network.loses = { before(it) || loses(it) }
        later(ms) { network.loses = before }
    }

    private val all = listOf(
        Trouble("a controller ends") { _ -> crash(anyNode(), 100 + random.nextInt(3_000)) },
        Trouble("the leader ends") { _ -> crash(leaderOrAny(), 100 + random.nextInt(3_000)) },
        Trouble("all controllers end") { _ -> nodes().forEach { crash(it, 100 + random.nextInt(5_000)) } },
        Trouble("leaders change in series") { ms ->
            repeat(4) { round ->
                later(round * ms / 4) {
                    crash(
                        leaderOrAny(),
                        100 + random.nextInt(900),
                    )
                }
            }
        },
        Trouble("a controller stands still") { ms ->
            val paused = controllers[anyNode()]
            paused.pause()
            later(ms) { paused.resume() }
        },
        Trouble("the leader stands still") { ms ->
            val paused = controllers[leaderOrAny()]
            paused.pause()
            later(ms) { paused.resume() }
        },
        Trouble("the state service refuses everybody") { ms ->
            state.outage = true
            later(ms) { state.outage = false }
        },
        Trouble("the state service hangs") { ms -> cutFor(ms, nodes().map { name(it) to STATE }) },
        Trouble("the state service refuses the leader alone") { ms ->
            val refused = name(leaderOrAny())
            network.refused += refused
            later(ms) { network.refused -= refused }
        },
        Trouble("a controller loses the state service") { ms -> cutFor(ms, listOf(name(anyNode()) to STATE)) },
        Trouble("a controller loses the state service and the others") { ms ->
            val node = anyNode()
            cutFor(ms, peersOf(node) + (name(node) to STATE))
        },
        Trouble("a controller loses the workers") { ms ->
            val node = anyNode()
            cutFor(ms, workers.keys.map { name(node) to it })
        },
        Trouble("controllers can't reach each other") { ms ->
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
        Trouble("transactions are carried out late, without an answer") { ms ->
            network.lateWriteOneIn = 6
            later(ms) { network.lateWriteOneIn = 0 }
        },
        Trouble("answers to transactions are lost") { ms ->
            network.lostAnswerOneIn = 5
            later(ms) { network.lostAnswerOneIn = 0 }
        },
        Trouble("reports come again, late") { ms ->
            network.lateHeartbeatOneIn = 4
            later(ms) { network.lateHeartbeatOneIn = 0 }
        },
        Trouble("commands come late, unanswered") { ms ->
            network.lateCommandOneIn = 4
            later(ms) { network.lateCommandOneIn = 0 }
        },
        Trouble("machines are deaf") { ms ->
            val deaf = someWorkers()
            loseFor(ms) { it.to in deaf }
        },
        Trouble("machines are mute") { ms ->
            val mute = someWorkers()
            loseFor(ms) { it.from in mute && !it.answer }
        },
        Trouble("machines are cut off") { ms ->
            val cut = someWorkers()
            cutFor(ms, cut.flatMap { worker -> nodes().map { name(it) to worker } })
        },
        Trouble("machines hang") { ms ->
            val hanging = someWorkers().mapNotNull { workers[it] }
            hanging.forEach { it.hanging = true }
            later(ms) { hanging.forEach { it.resume() } }
        },
        Trouble("machines are gone") { _ -> repeat(2) { anyWorker()?.let(::killMachine) } },
        Trouble("machines are back at once") { _ -> repeat(3) { anyWorker()?.let(::rebootMachine) } },
        Trouble("links are slow") { ms ->
            network.delayMs = { if (it.path == SoakNetwork.COMMAND || it.from == STATE) random.nextInt(900) else 0 }
            later(ms) { network.delayMs = { 0 } }
        },
    )

    /** Waves of two or three troubles at once, within [lengthMs]. */
    fun schedule(random: java.util.Random, lengthMs: Int): List<Scheduled> = (0 until lengthMs step WAVE_MS).flatMap { wave ->
        all.shuffled(random).take(2 + random.nextInt(2)).map { trouble ->
            Scheduled(wave + random.nextInt(WAVE_MS / 3), trouble, MIN_MS + random.nextInt(MAX_MS - MIN_MS))
        }
    }

    private const val WAVE_MS = 8_000
    private const val MIN_MS = 1_500
    private const val MAX_MS = 9_000
}
