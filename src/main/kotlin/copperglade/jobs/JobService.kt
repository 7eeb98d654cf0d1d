package copperglade.jobs

import copperglade.fleet.MachineTypeCatalog
import copperglade.protocol.Cancellation
import copperglade.protocol.Decoding
import copperglade.protocol.InvalidField
import copperglade.protocol.JobId
import copperglade.protocol.JobKind
import copperglade.protocol.JobSpec
import copperglade.protocol.JobSpecCodec
import copperglade.protocol.JobStatus
import copperglade.protocol.JobSummary
import copperglade.protocol.Json
import copperglade.protocol.MonotonicTime
import copperglade.protocol.ParsedSubmission
import copperglade.protocol.Revision
import copperglade.protocol.TeamName
import copperglade.protocol.UserApiCodec
import copperglade.protocol.stringOrNull
import copperglade.settings.Team
import copperglade.storage.CatchUpOutcome
import copperglade.storage.Condition
import copperglade.storage.Job
import copperglade.storage.Keys
import copperglade.storage.LiveRecord
import copperglade.storage.ReadOutcome
import copperglade.storage.RecordCodec
import copperglade.storage.Replica
import copperglade.storage.ReplicaState
import copperglade.storage.StateClient
import copperglade.storage.Transaction
import copperglade.storage.TransactionOutcome
import copperglade.storage.Write
import copperglade.storage.WritePriority
import copperglade.transport.EventLoop
import copperglade.transport.HttpStatus
import copperglade.transport.Reply
import copperglade.transport.Responder
import org.slf4j.LoggerFactory
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Answers users. Nothing is said of a job that is not durable, or that any later answer could contradict. */
class JobService(
    private val loop: EventLoop,
    private val store: StateClient,
    private val replica: Replica,
    private val types: MachineTypeCatalog,
    private val teams: Map<TeamName, Team>,
    private val cancellationBroadcast: CancellationBroadcast,
) {
    private val resolver = DependencyResolver(replica)

    fun submit(body: ByteArray, responder: Responder) {
        val root = Json.readStrict(body)
        val id = root?.takeIf { it.isObject }?.stringOrNull("nameId")?.let { JobId.parse(it) }
        val parsed =
            Decoding.orNull("submission") { JobSpecCodec.parse(root) } ?: ParsedSubmission.Invalid(InvalidField("body", "malformed"))
        if (id == null) return responder.send(badRequest((parsed as ParsedSubmission.Invalid).why))
        if (replica.jobs[id]?.live != null || replica.endOf(id) != null) return status(id, responder) { answerKnown(it, responder) }
        when (parsed) {
            is ParsedSubmission.Invalid -> refuse(id, badRequest(parsed.why), responder)
            is ParsedSubmission.Valid -> {
                if (!types.isLoaded || replica.state != ReplicaState.CURRENT || store.isUserQueueFull()) return responder.send(later())
                val refusal = impossible(parsed.spec)?.let(::unprocessable) ?: if (fits(recordOf(parsed.spec))) null else tooLarge("body")
                if (refusal != null) refuse(id, refusal, responder) else acceptAfter(parsed.dependencies, parsed.spec, responder)
            }
        }
    }

    /** A known job is answered with its state whatever else the repeat says. */
    private fun refuse(id: JobId, refusal: Reply, responder: Responder) =
        status(id, responder) { if (it == null) responder.send(refusal) else answerKnown(it, responder) }

    private fun acceptAfter(dependencies: List<JobId>, spec: JobSpec, responder: Responder) {
        if (spec.id in dependencies) return refuse(spec.id, unprocessable("${JobSpecCodec.DEPENDENCIES}: names the job itself"), responder)
        resolver.resolve(dependencies) { resolution ->
            when (resolution) {
                Resolution.Unavailable -> responder.send(later())
                is Resolution.Impossible -> {
                    val problem = "${JobSpecCodec.DEPENDENCIES}: ${resolution.id}: ${resolution.why}"
                    refuse(spec.id, unprocessable(problem), responder)
                }
                is Resolution.Accepted -> {
                    // One that needs a cancelled job is accepted all the same, and cancelled from its first moment.
                    val record = LiveRecord(spec, loop.wallMillis(), resolution.aborted, resolution.open)
                    if (record.dependencies.isEmpty() || fits(record)) {
                        accept(record, responder, TRIES)
                    } else {
                        refuse(spec.id, tooLarge(JobSpecCodec.DEPENDENCIES), responder)
                    }
                }
            }
        }
    }

    private fun recordOf(spec: JobSpec) = LiveRecord(spec, loop.wallMillis(), cancelled = false)

    /** Whether the state service takes [record], also once that carries the cancelled mark. */
    private fun fits(record: LiveRecord): Boolean = RecordCodec.encode(record.withCancelledMark()).size <= store.limits.valueBytes

    private fun accept(record: LiveRecord, responder: Responder, tries: Int) {
        val spec = record.spec
        val transaction = Transaction(
            listOf(Condition(Keys.live(spec.id), Revision.ABSENT), Condition(Keys.ended(spec.id), Revision.ABSENT)),
            listOf(Write.Set(Keys.live(spec.id), RecordCodec.encode(record))),
        )
        store.commit(WritePriority.USER, transaction) { outcome ->
            when (outcome) {
                is TransactionOutcome.Applied -> {
                    replica.applyCommitted(transaction, outcome.revision)
                    log.debug("{} accepted: {} tasks of {}", spec.id, spec.tasks, spec.load)
                    val status = if (record.cancelled) JobStatus.CANCELLED else JobStatus.QUEUED
                    responder.send(Reply(HttpStatus.CREATED, UserApiCodec.encodeStatus(spec.id, status)))
                }
                is TransactionOutcome.Conflict -> status(spec.id, responder) { answerKnown(it, responder) }
                TransactionOutcome.Refused -> {
                    if (tries > 0) loop.after(RETRY) { accept(record, responder, tries - 1) } else responder.send(later())
                }
                TransactionOutcome.Unknown, TransactionOutcome.NoSuchLease -> responder.send(later())
            }
        }
    }

    /** Why the job can never run, or null. */
    private fun impossible(spec: JobSpec): String? {
        val team = teams[spec.team] ?: return "crew: unknown team"
        val fits = types.all.any { type ->
            spec.request.fitsIn(type.capacity) && type.zones.any { spec.allows(type.name, it, spot = false) }
        }
        if (!fits) return "vcpus, gpus, memoryGb, fleets, depot: no machine type fits a task"
        val atOnce = spec.request * if (spec.kind == JobKind.ARRAY) 1 else spec.tasks
        return if (team.allows(atOnce.cpus, atOnce.gpus)) null else "crew: more than the team's limit"
    }

    fun poll(id: JobId, responder: Responder) = status(id, responder) { answer ->
        responder.send(if (answer == null) unknown() else Reply(HttpStatus.OK, UserApiCodec.encodeSummary(answer)))
    }

    fun cancel(id: JobId, responder: Responder) = cancel(id, responder, TRIES)

    private fun cancel(id: JobId, responder: Responder, tries: Int): Unit = status(id, responder) { answer ->
        val live = replica.jobs[id]?.live
        when {
            answer == null -> responder.send(unknown())
            answer.status.isFinal -> responder.send(Reply(HttpStatus.OK, UserApiCodec.encodeStatus(id, answer.status)))
            live == null || tries == 0 -> responder.send(later())
            else -> {
                val record = cancelledRecord(live.value)
                val transaction = Transaction(
                    listOf(Condition(Keys.live(id), live.revision)),
                    listOf(Write.Set(Keys.live(id), RecordCodec.encode(record))),
                )
                store.commit(WritePriority.USER, transaction) { outcome ->
                    // Tasks may have become done just before the mark, so it is read again what the job has become.
                    when (outcome) {
                        is TransactionOutcome.Applied -> {
                            replica.applyCommitted(transaction, outcome.revision)
                            cancellationBroadcast.tell(Cancellation(id, outcome.revision)) { cancel(id, responder, tries - 1) }
                        }
                        TransactionOutcome.Refused -> responder.send(later())
                        else -> cancel(id, responder, tries - 1)
                    }
                }
            }
        }
    }

    /**
     * The record with the cancelled mark. One that was accepted under higher limits may have become too large for a value;
     * its list of machine types is what can make it so.
     */
    private fun cancelledRecord(live: LiveRecord): LiveRecord {
        if (fits(live)) return live.withCancelledMark()
        return LiveRecord(live.spec.withoutTypes(), live.acceptedAtMillis, cancelled = true, live.dependencies)
    }

    /** Calls back with the job's present state, or null where no such job was ever accepted; else answers 503. */
    private fun status(id: JobId, responder: Responder, done: (JobSummary?) -> Unit) {
        replica.endOf(id)?.let { return done(JobSummary(id, it.status, it.tasksDone, 0)) }
        status(id, loop.now(), responder, done)
    }

    private fun status(id: JobId, asked: MonotonicTime, responder: Responder, done: (JobSummary?) -> Unit) {
        replica.catchUp { outcome ->
            val job = replica.jobs[id]
            val end = replica.endOf(id)
            when {
                // This process may have stood still between the reading and now, and another may have told the user more.
                outcome != CatchUpOutcome.Current || loop.now() >= asked + MAX_READING -> responder.send(later())
                end != null -> done(JobSummary(id, end.status, end.tasksDone, 0))
                // A job that it waits for ended before this process began, and is not known to be done or cancelled yet.
                replica.dependencies.hasUnknownDependencies(id) -> responder.send(later())
                // The mark was learned ahead of the reading: the last task may have been recorded just before it.
                job != null && job.isCancelledAfter(replica.knownRevision) && !job.complete -> status(id, asked, responder, done)
                job?.live != null -> done(answerOf(job))
                else -> replica.readEnd(id) { endRead ->
                    val found = replica.endOf(id)
                    when {
                        endRead == ReadOutcome.Failed -> responder.send(later())
                        found != null -> done(JobSummary(id, found.status, found.tasksDone, 0))
                        else -> done(null)
                    }
                }
            }
        }
    }

    private fun answerOf(job: Job) = JobSummary(job.id, job.status(), job.done.cardinality(), job.assignments().count())

    private fun answerKnown(answer: JobSummary?, responder: Responder) =
        responder.send(if (answer == null) later() else Reply(HttpStatus.OK, UserApiCodec.encodeStatus(answer.id, answer.status)))

    private fun badRequest(why: InvalidField) = Reply(
        HttpStatus.BAD_REQUEST,
        UserApiCodec.encodeError("${why.field}: ${why.problem}", why.field),
    )

    private fun unprocessable(problem: String) = Reply(HttpStatus.UNPROCESSABLE_CONTENT, UserApiCodec.encodeError(problem))

    private fun tooLarge(field: String) = badRequest(InvalidField(field, "too large to be stored"))

    private fun unknown() = Reply(HttpStatus.NOT_FOUND, UserApiCodec.encodeError("no such job"))

    companion object {
        private const val TRIES = 2
        private val log = LoggerFactory.getLogger("desk")
        private val RETRY = 100.milliseconds
        private val MAX_READING = 5.seconds

        fun later() = Reply(HttpStatus.SERVICE_UNAVAILABLE, UserApiCodec.encodeError("not now, ask again"), retryAfterSeconds = 1)
    }
}
