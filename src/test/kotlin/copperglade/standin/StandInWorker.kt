package copperglade.standin

import copperglade.protocol.Endpoint
import copperglade.protocol.JobSpec
import copperglade.protocol.Json
import copperglade.protocol.MemberId
import copperglade.protocol.MonotonicTime
import copperglade.protocol.TaskId
import copperglade.protocol.doubleOrNull
import copperglade.protocol.longOrNull
import copperglade.protocol.stringOrNull
import copperglade.protocol.writeJsonArray
import copperglade.protocol.writeJsonObject
import copperglade.transport.EventLoop
import copperglade.transport.HttpClient
import copperglade.transport.Method
import copperglade.transport.Reply
import copperglade.transport.Request
import copperglade.transport.RequestHandler
import copperglade.transport.Responder
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What a worker needs to know of its tasks, and whom it informs of them. */
interface World {
    fun spec(task: TaskId): JobSpec?

    /** How long the task takes on an average machine, in seconds; null for a service. */
    fun workS(task: TaskId): Double?

    /** After how many seconds the task fails on this machine; null where it doesn't. */
    fun failsAfterS(worker: StandInWorker, task: TaskId): Double? = null

    fun started(worker: StandInWorker, task: TaskId)

    fun ended(worker: StandInWorker, task: TaskId, done: Boolean)
}

class WorkerSite(val heartbeatIntervalSeconds: Double, val leaseSeconds: Double, val controllers: List<Pair<MemberId, Endpoint>>)

/** One machine's worker, written from the protocol. */
class StandInWorker(
    private val loop: EventLoop,
    private val http: HttpClient,
    private val world: World,
    private val site: WorkerSite,
    val name: String,
    private val endpoint: Endpoint,
    val type: String,
    val zone: String,
    val spot: Boolean,
    private val cpus: Double,
    private val fetchGbPerSecond: Double,
    private val speed: Double = 1.0,
) : RequestHandler {
    enum class State(val wire: String) { FETCHING("pulling"), RUNNING("running"), CHECKPOINTING("saving"), EXITED("ended") }

    /** A task that this worker has been told to start. Only one that was refused as unknown has no [description]. */
    inner class HeldTask(val task: TaskId, val attempt: Long, private val description: JobSpec?) {
        val spec: JobSpec get() = checkNotNull(description)
        var state = State.FETCHING
        var cause: String? = null

        /** Whether its progress was saved when it was stopped. */
        var kept = false
        val onMachine get() = state == State.RUNNING || state == State.CHECKPOINTING
    }

    private val held = ArrayList<HeldTask>()
    private val images = HashSet<String>()
    var epoch = 1L
        private set
    private var epochBegan = loop.now()
    private var answeredSentAt: MonotonicTime? = null
    private var sequenceNumber = 0L
    private var fencingToken = 0L
    private var target = 0
    val reportsTo: Int get() = target
    private var reporting = false
    private var lastHeartbeat = MonotonicTime.NEVER
    private var changed = true
    var alive = true
        private set

    /** A hanging machine executes nothing, yet it may resume. */
    var hanging = false
    private val heldBack = ArrayList<() -> Unit>()

    /** The milliseconds since this worker's lease began: since the last acknowledged heartbeat was sent, or since the epoch began. */
    val leaseAgeMillis: Long get() = loop.now().millis - (answeredSentAt ?: epochBegan).millis

    /** Tasks that have their image and have not ended. */
    fun running(): List<TaskId> = held.filter { it.onMachine }.map { it.task }

    /** Tasks that were commanded to stop and are checkpointing. */
    fun saving(): List<TaskId> = held.filter { it.state == State.CHECKPOINTING }.map { it.task }

    /** CPUs that no task takes or waits for here. */
    fun freeCpus(): Double = cpus - held.filter { it.state != State.EXITED }.sumOf { it.spec.request.cpus }

    fun start() = tick()

    fun die() {
        if (!alive) return
        alive = false
        wipe()
    }

    fun resume() {
        hanging = false
        heldBack.toList().also { heldBack.clear() }.forEach { it() }
    }

    private fun tick() {
        if (!alive) return
        // A hanging machine may resume within its lease, and no later: its tasks end with the lease all the same.
        expire()
        if (!hanging) {
            val due = if (changed) 500.milliseconds else site.heartbeatIntervalSeconds.seconds
            if (!reporting && loop.now() >= lastHeartbeat + due) heartbeat()
        }
        loop.after(TICK) { tick() }
    }

    private fun expire() {
        val since = answeredSentAt ?: epochBegan
        if (loop.now().millis - since.millis <= site.leaseSeconds * 1000) return
        wipe()
        epoch++
        epochBegan = loop.now()
        answeredSentAt = null
        changed = true
    }

    private fun wipe() {
        held.filter { it.onMachine }.forEach { world.ended(this, it.task, done = false) }
        held.clear()
    }

    private fun heartbeat() {
        reporting = true
        changed = false
        lastHeartbeat = loop.now()
        val sent = loop.now()
        val sentEpoch = epoch
        sequenceNumber++
        http.call(site.controllers[target].second, Request(Method.POST, "/checkin", body()), 4.seconds) { reply ->
            if (!alive) return@call
            reporting = false
            val node = Json.read(reply?.body ?: ByteArray(0))
            when (reply?.status) {
                200 -> if (sentEpoch == epoch) {
                    val token = node?.longOrNull("baton") ?: -1
                    if (token >= fencingToken) {
                        answeredSentAt = sent
                        see(token)
                        node?.get("dispatches")?.forEach(::execute)
                    }
                }
                421 -> {
                    val named = site.controllers.indexOfFirst { it.first.text == node?.stringOrNull("dispatcher") }
                    if (named >= 0 && named != target) {
                        target = named
                        changed = true
                    } else {
                        next()
                    }
                }
                else -> next()
            }
        }
    }

    private fun next() {
        target = (target + 1) % site.controllers.size
        lastHeartbeat = loop.now() - site.heartbeatIntervalSeconds.seconds + 1.seconds
    }

    private fun see(token: Long) {
        if (token <= fencingToken) return
        fencingToken = token
        changed = true
    }

    override fun handle(request: Request, responder: Responder) {
        if (!alive) return
        if (hanging) {
            heldBack += { handle(request, responder) }
            return
        }
        if (request.path == "/status") {
            sequenceNumber++
            return responder.send(Reply(200, body()))
        }
        val node = Json.read(request.body)
        val token = node?.longOrNull("baton")
        val wanted = node?.longOrNull("shift")
        if (token == null || wanted == null) return responder.send(Reply(400))
        val taken = token >= fencingToken && wanted == epoch
        if (taken) {
            see(token)
            node.get("dispatches").forEach(::execute)
        }
        sequenceNumber++
        responder.send(Reply(if (taken) 200 else 409, body()))
    }

    private fun execute(command: com.fasterxml.jackson.databind.JsonNode) {
        val task = TaskId.parse(command.stringOrNull("box")!!)!!
        val attempt = command.longOrNull("trip")!!
        val present = held.firstOrNull { it.task == task && it.attempt == attempt }
        when (command.stringOrNull("order")) {
            "start" -> if (present == null) begin(task, attempt)
            "halt" -> {
                val leewayS = checkNotNull(command.doubleOrNull("leewayS"))
                if (present != null && present.state != State.EXITED) halt(present, leewayS)
            }
            "reap" -> if (present?.state == State.EXITED) held.remove(present)
        }
        changed = true
    }

    /** A running task with checkpoints saves its progress if it is given the time; a second halt without any ends that. */
    private fun halt(heldTask: HeldTask, leewayS: Double) {
        val saves = heldTask.spec.checkpointIntervalSeconds > 0.0 && leewayS >= heldTask.spec.checkpointSeconds
        when {
            heldTask.state == State.CHECKPOINTING -> if (leewayS == 0.0) exit(heldTask, "halted")
            heldTask.state == State.RUNNING && saves -> {
                heldTask.state = State.CHECKPOINTING
                loop.after(heldTask.spec.checkpointSeconds.seconds) {
                    if (heldTask in held && heldTask.state == State.CHECKPOINTING && alive) {
                        heldTask.kept = true
                        exit(heldTask, "halted")
                    }
                }
            }
            else -> exit(heldTask, "halted")
        }
    }

    private fun begin(task: TaskId, attempt: Long) {
        val spec = world.spec(task)
        val newTask = HeldTask(task, attempt, spec)
        val busy = held.any { it.task == task && it.state != State.EXITED }
        val used = held.filter { it.state != State.EXITED }.sumOf { it.spec.request.cpus }
        held += newTask
        if (spec == null) return exit(newTask, "no_such")
        when {
            busy -> exit(newTask, "busy")
            used + spec.request.cpus > cpus + 1e-6 -> exit(newTask, "full")
            spec.image.name.text in images -> run(newTask)
            else -> loop.after((spec.image.sizeGb / fetchGbPerSecond).seconds) {
                if (newTask in held && newTask.state == State.FETCHING) {
                    images += spec.image.name.text
                    run(newTask)
                }
            }
        }
    }

    private fun run(heldTask: HeldTask) {
        heldTask.state = State.RUNNING
        changed = true
        world.started(this, heldTask.task)
        val failsAfterS = world.failsAfterS(this, heldTask.task)
        val endsAfterS = failsAfterS ?: world.workS(heldTask.task)?.let { it / speed } ?: return
        val cause = if (failsAfterS == null) "done" else "error"
        loop.after(endsAfterS.seconds) { if (heldTask in held && heldTask.state == State.RUNNING && alive) exit(heldTask, cause) }
    }

    private fun exit(heldTask: HeldTask, cause: String) {
        val ran = heldTask.onMachine
        heldTask.state = State.EXITED
        heldTask.cause = cause
        changed = true
        if (ran) world.ended(this, heldTask.task, cause == "done")
    }

    private fun body(): ByteArray = Json.write {
        writeJsonObject {
            writeStringField("truck", name)
            writeStringField("addr", endpoint.toString())
            writeStringField("fleet", type)
            writeStringField("depot", zone)
            writeBooleanField("borrowed", spot)
            writeNumberField("shift", epoch)
            writeNumberField("tally", sequenceNumber)
            writeNumberField("baton", fencingToken)
            writeNullField("recallS")
            writeJsonArray("boxes") {
                for (heldTask in held) {
                    writeJsonObject {
                        writeStringField("box", heldTask.task.toString())
                        writeNumberField("trip", heldTask.attempt)
                        writeStringField("status", heldTask.state.wire)
                        heldTask.cause?.let { writeStringField("cause", it) }
                        if (heldTask.kept) writeBooleanField("kept", true)
                    }
                }
            }
        }
    }

    private companion object {
        val TICK = 100.milliseconds
    }
}
