package copperglade.controller

import copperglade.fleet.Autoscaler
import copperglade.fleet.MachineTypeCatalog
import copperglade.jobs.CancellationBroadcast
import copperglade.jobs.JobFinalizer
import copperglade.jobs.JobService
import copperglade.membership.FormerIncarnations
import copperglade.membership.Leadership
import copperglade.membership.LeaseEndorsement
import copperglade.membership.Membership
import copperglade.membership.PeerStatusExchange
import copperglade.observability.ActionAudit
import copperglade.observability.EventLoopMetrics
import copperglade.observability.RequestLatency
import copperglade.ownership.HeartbeatRouter
import copperglade.ownership.ImageRecordWriter
import copperglade.ownership.MachineRetirement
import copperglade.ownership.OwnedShards
import copperglade.ownership.ShardOwnerFactory
import copperglade.ownership.ShardOwnership
import copperglade.ownership.ShardRecordWriter
import copperglade.ownership.ShardTicker
import copperglade.ownership.UnreachableWorkerWatch
import copperglade.prediction.ProfileStore
import copperglade.protocol.JobId
import copperglade.protocol.MemberId
import copperglade.protocol.PeerMessageCodec
import copperglade.protocol.PeerStatus
import copperglade.protocol.UserApiCodec
import copperglade.protocol.WorkerMessageCodec
import copperglade.protocol.secondsSince
import copperglade.safety.ActionGuard
import copperglade.safety.InvariantViolation
import copperglade.safety.InvariantViolations
import copperglade.scheduling.CapacityTable
import copperglade.scheduling.FairShare
import copperglade.scheduling.Scheduler
import copperglade.scheduling.SchedulingPolicy
import copperglade.settings.InvalidSettingException
import copperglade.settings.OperatorSettings
import copperglade.settings.PlatformSettings
import copperglade.shards.ShardAssigner
import copperglade.shards.ShardMap
import copperglade.storage.BudgetShare
import copperglade.storage.EndedJobs
import copperglade.storage.Replica
import copperglade.storage.ReplicaState
import copperglade.storage.StateClient
import copperglade.storage.StateLimits
import copperglade.storage.TokenBucket
import copperglade.tasks.ActionControl
import copperglade.tasks.ClusterKnowledge
import copperglade.tasks.FailingJobs
import copperglade.tasks.FailureEvidence
import copperglade.tasks.HeartbeatTimeouts
import copperglade.tasks.ShardConnections
import copperglade.transport.EventLoop
import copperglade.transport.HttpClient
import copperglade.transport.HttpStatus
import copperglade.transport.Method
import copperglade.transport.Reply
import copperglade.transport.Request
import copperglade.transport.RequestHandler
import copperglade.transport.Responder
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** One controller: everything that decides, over a clock and ways to send that are handed in. */
class Controller(
    private val loop: EventLoop,
    caller: HttpClient,
    private val settings: PlatformSettings,
    operatorSettings: OperatorSettings,
    /** The bytes that the heap may take: bounds on what is only remembered follow from it. */
    heapBytes: Long = Runtime.getRuntime().maxMemory(),
    /** Told of each action that the last check before it has refused: see [InvariantViolations]. */
    onViolation: (InvariantViolation) -> Unit = {},
) {
    private val metrics = EventLoopMetrics(loop)
    private val http = metrics.measured(caller)
    private val store = StateClient(
        loop,
        http,
        settings.state,
        StateLimits(settings.stateRequestsPerSecond, settings.stateWritesPerSecond, settings.valueKb, settings.transactionWrites),
        // Until it knows the others, it takes no more than would be left to it if they all lived.
        firstShare = BUDGET_USED / (settings.peers.size + 1),
    )
    private val staleness = stalenessLimit(settings.leaseSeconds, settings.cancelSeconds, operatorSettings)
    private val idleRefreshInterval = minOf(Replica.IDLE_REFRESH_INTERVAL, staleness / READINGS_IN_STALENESS)
    private val profiles =
        ProfileStore(
            operatorSettings.nearestProfiles,
            operatorSettings.fittingSteps,
            operatorSettings.fittingRate,
            operatorSettings.profileCapacity,
        )
    private val replica =
        Replica(
            loop,
            store,
            readers = settings.peers.size + 1,
            idleRefreshInterval,
            maxCatchUp = staleness,
            EndedJobs.maxEndsFor(heapBytes),
        ) { spec ->
            profiles.expectedRunSeconds(spec.id, spec.load, spec.request) ?: spec.estimatedSeconds
        }
    private val leaseEndorsement = LeaseEndorsement(loop, http, store, settings.member, settings.peers)
    private val membership = Membership(
        loop,
        store,
        replica,
        leaseEndorsement,
        settings.member,
        leaseLength = minOf(staleness, (settings.leaseSeconds * operatorSettings.sessionLeaseFraction).seconds),
        stalenessLimit = staleness,
        startLimit = idleRefreshInterval * 2,
    )
    private val violations = InvariantViolations(onViolation)
    private val guard = ActionGuard(replica, membership, violations)
    private val audit = ActionAudit(loop, replica, membership, violations)
    private val formerIncarnations = FormerIncarnations(loop, replica, settings.peers.map { it.member }, membership.grace)
    private val leadership = Leadership(loop, store, replica, membership, operatorSettings.leaderLease)
    private val zoneOfMember = settings.peers.associate { it.member to it.zone } + (settings.member to settings.zone)
    private val shardMap = ShardMap(settings.zones, operatorSettings.shardsPerZone.takeIf { it > 0 } ?: zoneOfMember.size)
    private val shardAssigner = ShardAssigner(
        loop,
        store,
        replica,
        leadership,
        shardMap,
        zoneOfMember,
        leaseEndorsement,
        settling = (settings.leaseSeconds * LEASES_TO_SETTLE).seconds,
    )
    private val types = MachineTypeCatalog(loop, http, settings.cloud)
    private val cloudBudget = TokenBucket(settings.cloudRequestsPerSecond * CLOUD_SHARE / zoneOfMember.size, 2.0, loop.now())
    private val failureEvidence = FailureEvidence(operatorSettings.failingJobMachineThreshold)
    private val shardOwners = ShardOwnerFactory(
        ShardConnections(loop, http, store),
        replica,
        ActionControl(membership, guard, audit),
        ClusterKnowledge(types, profiles, failureEvidence, FailingJobs(replica, failureEvidence)),
        formerIncarnations,
        HeartbeatTimeouts(settings.heartbeatIntervalSeconds, settings.leaseSeconds),
        metrics,
        operatorSettings.stragglerFactor,
    )
    private val ownedShards = OwnedShards()
    private val shardRecords = ShardRecordWriter(loop, store, replica, membership)
    private val shardOwnership =
        ShardOwnership(loop, replica, membership, shardMap, ownedShards, shardOwners, shardRecords, failureEvidence)
    private val shardTicker = ShardTicker(loop, ownedShards, shardRecords, metrics)
    private val unreachableWorkerWatch = UnreachableWorkerWatch(loop, store, ownedShards, shardOwnership)
    private val imageRecords = ImageRecordWriter(loop, store, replica, membership, ownedShards)
    private val heartbeatRouter = HeartbeatRouter(ownedShards, shardMap, replica, membership, ::peersReachStateService)
    private val machineRetirement = MachineRetirement(ownedShards, membership, http, settings.cloud, cloudBudget, loop)
    private val peerStatusExchange = PeerStatusExchange(
        loop,
        http,
        store,
        settings.member,
        settings.peers,
        { ownedShards.machineCount },
        { composeStatus() },
        { replica.leader?.value?.member },
        ::onPeerStatus,
    )
    private val capacityTable = CapacityTable(replica, shardMap, ::capacityStatusOf)
    private val schedulingPolicy = SchedulingPolicy(
        settings.teams,
        settings.objectives,
        FairShare(operatorSettings.starvationThresholdSeconds, operatorSettings.starvationShare),
    )
    private val scheduler = Scheduler(loop, store, replica, leadership, capacityTable, types, schedulingPolicy)
    private val jobFinalizer = JobFinalizer(store, replica, leadership, guard, audit)
    private val autoscaler = Autoscaler(
        loop,
        http,
        settings.cloud,
        cloudBudget,
        replica,
        leadership,
        membership,
        types,
        settings.teams,
        shardMap,
        operatorSettings,
        settings.listLagSeconds,
        ::statusOf,
    )
    private val cancellationBroadcast = CancellationBroadcast(loop, http, settings.peers, replica, worthTelling = staleness)
    private val jobService = JobService(loop, store, replica, types, settings.teams, cancellationBroadcast)

    private val submissions = RequestLatency(loop, "submissions")
    private val polls = RequestLatency(loop, "polls")

    /** Users, workers and health checks. */
    val clientHandler = metrics.measured(RequestHandler(::handleClient))

    /** The other controllers. */
    val clusterHandler = metrics.measured(RequestHandler(::handlePeer))

    fun start() {
        replica.addListener(formerIncarnations)
        replica.addListener(shardOwnership)
        replica.addListener(jobFinalizer)
        replica.addListener { changes ->
            changes.peerStatuses.mapNotNull(PeerMessageCodec::decodeStatus).forEach(peerStatusExchange::receiveIndirect)
        }
        membership.onChange = shardOwnership::reconcile
        types.start()
        replica.start()
        membership.start()
        leaseEndorsement.start()
        leadership.start()
        shardTicker.start()
        unreachableWorkerWatch.start()
        imageRecords.start()
        peerStatusExchange.start()
        autoscaler.start()
        submissions.start()
        metrics.start()
        audit.start()
        polls.start()
        loop.again({ if (leadership.leading) MIN_ROUND + (lastRound * ROUND_REST) else IDLE_ROUND }) {
            val began = loop.now()
            metrics.measure("round") { leaderRound() }
            lastRound = (loop.now().ms - began.ms).milliseconds
        }
    }

    /** The leader's rounds. The longer a round takes, the later the next one, and the more it decides. */
    private fun leaderRound() {
        if (leadership.leading) {
            shardAssigner.round()
            scheduler.round()
            jobFinalizer.round()
        }
        shareBudget()
    }

    private var lastRound = Duration.ZERO

    /** All controllers together must stay within the state service's budgets; whoever has more to write gets more. */
    private fun shareBudget() {
        val others = (replica.members.keys - settings.member).map { statusOf(it)?.desiredWritesPerSecond }
        // The leader rents and lists, the others only return what is idle.
        val cloudShare = if (leadership.leading) LEADER_SHARE_OF_CLOUD else (1.0 - LEADER_SHARE_OF_CLOUD) / others.size.coerceAtLeast(1)
        cloudBudget.setRate(settings.cloudRequestsPerSecond * CLOUD_SHARE * cloudShare, loop.now())
        store.setShares(
            BUDGET_USED / (others.size + 1),
            BUDGET_USED * BudgetShare.of(store.desiredWritesPerSecond, others, settings.stateWritesPerSecond),
        )
    }

    private fun composeStatus(): PeerStatus? {
        val incarnation = membership.incarnation ?: return null
        val leading = leadership.leading
        return PeerStatus(
            member = settings.member,
            incarnation = incarnation,
            knownRevision = replica.knownRevision,
            stateSilentMillis = loop.now().ms - store.lastAnswerAt.ms,
            isLeader = leading,
            shards = ownedShards.capacities(),
            release = if (leading) shardAssigner.release else emptyList(),
            retire = if (leading) autoscaler.retire else emptyList(),
            desiredWritesPerSecond = store.desiredWritesPerSecond,
        )
    }

    private var ownStatus: PeerStatus? = null

    private fun onPeerStatus(status: PeerStatus) {
        if (status.member == settings.member) ownStatus = status
        if (!status.isLeader) return
        shardOwnership.release(status.release)
        machineRetirement.retire(status.retire)
    }

    private fun statusOf(member: MemberId): PeerStatus? =
        if (member == settings.member) ownStatus else peerStatusExchange.of(member)

    private fun capacityStatusOf(member: MemberId): PeerStatus? =
        if (member == settings.member) ownStatus else peerStatusExchange.capacityStatusOf(member)

    // ---- requests ----

    private fun handleClient(request: Request, responder: Responder) {
        val path = request.path.substringBefore('?')
        when {
            path == WorkerMessageCodec.HEARTBEAT_PATH -> onPost(request, responder) { handleHeartbeat(request, responder) }
            path == UserApiCodec.JOBS_PATH -> onPost(request, responder) { jobService.submit(request.body, submissions.timed(responder)) }
            path == UserApiCodec.HEALTH_PATH -> if (request.method ==
                Method.GET
            ) {
                responder.send(health())
            } else {
                wrongMethod(responder)
            }
            path.startsWith(
                "${UserApiCodec.JOBS_PATH}/",
            ) -> job(request, path.removePrefix("${UserApiCodec.JOBS_PATH}/"), responder)
            else -> responder.send(Reply(HttpStatus.NOT_FOUND, UserApiCodec.encodeError("no such path")))
        }
    }

    private fun job(request: Request, rest: String, responder: Responder) {
        val cancelling = rest.endsWith("/${UserApiCodec.CANCEL_SUFFIX}")
        val id = JobId.parse(rest.removeSuffix("/${UserApiCodec.CANCEL_SUFFIX}"))
        when {
            id == null -> responder.send(Reply(HttpStatus.NOT_FOUND, UserApiCodec.encodeError("no such job")))
            cancelling -> onPost(request, responder) { jobService.cancel(id, responder) }
            request.method == Method.GET -> jobService.poll(id, polls.timed(responder))
            else -> wrongMethod(responder)
        }
    }

    private fun onPost(request: Request, responder: Responder, action: () -> Unit) =
        if (request.method == Method.POST) action() else wrongMethod(responder)

    private fun wrongMethod(responder: Responder) =
        responder.send(Reply(HttpStatus.METHOD_NOT_ALLOWED, UserApiCodec.encodeError("method not allowed here")))

    private fun handleHeartbeat(request: Request, responder: Responder) {
        val heartbeat = WorkerMessageCodec.decodeHeartbeat(request.body)
        responder.send(
            when {
                heartbeat == null -> Reply(HttpStatus.BAD_REQUEST, UserApiCodec.encodeError("not a worker's report"))
                replica.state != ReplicaState.CURRENT -> JobService.later()
                else -> heartbeatRouter.handle(heartbeat)
            },
        )
    }

    /**
     * A node that alone has lost the state service should get no users; if all have lost it, none of the others
     * would serve them better, and the balancer would only be slow to come back. One that hears neither the service nor
     * any other controller is probably alone: users who stayed with it would get no answer for as long as that lasts.
     */
    private fun health(): Reply {
        val silent = loop.now().secondsSince(store.lastAnswerAt)
        val alone = peersReachStateService()
        val lonely = settings.peers.isNotEmpty() && settings.peers.none { peerStatusExchange.of(it.member) != null } && silent >= LONELY_S
        val healthy = replica.state == ReplicaState.CURRENT && types.isLoaded && (silent * 1000 < SILENT_MS || !(alone || lonely))
        return if (healthy) Reply(HttpStatus.OK) else Reply(HttpStatus.SERVICE_UNAVAILABLE, UserApiCodec.encodeError("not ready"))
    }

    private fun peersReachStateService(): Boolean = settings.peers.any { peer ->
        peerStatusExchange.of(peer.member)?.let { it.stateSilentMillis < SILENT_MS }
            ?: false
    }

    private fun handlePeer(request: Request, responder: Responder) {
        if (request.path == PeerMessageCodec.ENDORSEMENT_PATH) {
            val endorsed = leaseEndorsement.endorse(MemberId(request.body.decodeToString()))
            return responder.send(Reply(if (endorsed) HttpStatus.OK else HttpStatus.CONFLICT))
        }
        if (request.path == PeerMessageCodec.CANCELLATIONS_PATH) {
            val cancellations = PeerMessageCodec.decodeCancellations(request.body)
            cancellations?.let(cancellationBroadcast::receive)
            return responder.send(Reply(if (cancellations == null) HttpStatus.BAD_REQUEST else HttpStatus.OK))
        }
        if (request.path != PeerMessageCodec.STATUS_PATH) return responder.send(Reply(HttpStatus.NOT_FOUND))
        val status = PeerMessageCodec.decodeStatus(request.body)
        if (status != null) peerStatusExchange.receive(status)
        responder.send(Reply(if (status == null) HttpStatus.BAD_REQUEST else HttpStatus.OK))
    }

    companion object {
        private const val SILENT_MS = 3000L
        private const val BUDGET_USED = 0.9
        private const val CLOUD_SHARE = 0.9
        private const val ROUND_REST = 3
        private const val LEADER_SHARE_OF_CLOUD = 0.6
        private const val LONELY_S = 10.0
        private const val LEASES_TO_SETTLE = 1.5
        private const val READINGS_IN_STALENESS = 4
        private val MIN_STALENESS = 1.seconds
        private val MIN_ROUND = 60.milliseconds
        private val IDLE_ROUND = 250.milliseconds

        /**
         * How long a process may act on what it knew last. At 30 s, the design's first choice, an owner cut off from
         * the state service could keep a worker going past the time in which a cancelled job must be gone: this time,
         * then the worker's lease. The margin covers the drift of the clocks, a thousandth of both together; where there is
         * little time between lease and cancellation, it is a third of that.
         */
        fun stalenessLimit(leaseSeconds: Double, cancelSeconds: Double, operatorSettings: OperatorSettings): Duration {
            val between = (cancelSeconds - leaseSeconds).seconds
            val wanted = operatorSettings.stalenessMargin
            val margin = if (wanted > OperatorSettings.DEFAULT_STALENESS_MARGIN) wanted else minOf(wanted, between / 3)
            if (between - margin < MIN_STALENESS) {
                throw InvalidSettingException(
                    "deployment.workers.cancel_s: lease_s and hold.margin.s ($margin) leave no second of it to act in",
                )
            }
            return minOf(operatorSettings.stalenessLimit, between - margin)
        }
    }
}
