package copperglade.controller

import copperglade.fleet.Autoscaler
import copperglade.fleet.AutoscalerSettings
import copperglade.fleet.CloudMachines
import copperglade.fleet.MachineReports
import copperglade.fleet.MachineTypeCatalog
import copperglade.jobs.CancellationBroadcast
import copperglade.jobs.JobFinalizer
import copperglade.jobs.JobService
import copperglade.membership.AuthorityLimits
import copperglade.membership.FormerIncarnations
import copperglade.membership.Leadership
import copperglade.membership.LeaseEndorsement
import copperglade.membership.Membership
import copperglade.membership.PeerStatusExchange
import copperglade.membership.PeerStatusTable
import copperglade.membership.StalenessLimit
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
import copperglade.protocol.PeerMessageCodec
import copperglade.safety.ActionGuard
import copperglade.safety.InvariantViolation
import copperglade.safety.InvariantViolations
import copperglade.scheduling.CapacityTable
import copperglade.scheduling.Scheduler
import copperglade.scheduling.SchedulingPolicy
import copperglade.scheduling.StarvationPrevention
import copperglade.settings.OperatorSettings
import copperglade.settings.PlatformSettings
import copperglade.shards.ShardAssigner
import copperglade.shards.ShardMap
import copperglade.storage.EndRecordCache
import copperglade.storage.Replica
import copperglade.storage.StateClient
import copperglade.storage.StateLimits
import copperglade.storage.TokenBucket
import copperglade.tasks.ActionControl
import copperglade.tasks.FailingJobs
import copperglade.tasks.FailureEvidence
import copperglade.tasks.HeartbeatTimeouts
import copperglade.tasks.ShardConnections
import copperglade.tasks.SharedClusterData
import copperglade.transport.EventLoop
import copperglade.transport.HttpClient
import copperglade.transport.RequestHandler
import kotlin.time.Duration.Companion.seconds

/**
 * One controller: creates, connects and starts its components, with the event loop and the HTTP client that the caller provides. This
 * class makes no decisions itself.
 */
class Controller(
    loop: EventLoop,
    httpClient: HttpClient,
    settings: PlatformSettings,
    operatorSettings: OperatorSettings,
    /** The maximum heap size in bytes, from which the limits of in-memory caches are derived. */
    heapBytes: Long,
    /** Called with each action that was refused by the last check before its execution: see [InvariantViolations]. */
    onViolation: (InvariantViolation) -> Unit = {},
) {
    private val metrics = EventLoopMetrics(loop)
    private val http = metrics.measured(httpClient)
    private val store = StateClient(
        loop,
        http,
        settings.state,
        StateLimits(settings.stateRequestsPerSecond, settings.stateWritesPerSecond, settings.maxValueKb, settings.maxTransactionWrites),
        initialShare = BudgetAllocator.initialStateShare(settings.peers.size + 1),
    )
    private val stalenessLimit = StalenessLimit.of(settings.workerLeaseSeconds, settings.cancellationDeadlineSeconds, operatorSettings)
    private val idleRefreshInterval = minOf(Replica.IDLE_REFRESH_INTERVAL, stalenessLimit / REFRESHES_PER_STALENESS_LIMIT)
    private val profiles =
        ProfileStore(
            operatorSettings.nearestProfileCount,
            operatorSettings.fittingSteps,
            operatorSettings.fittingRate,
            operatorSettings.profileCapacity,
        )
    private val replica =
        Replica(
            loop,
            store,
            controllerCount = settings.peers.size + 1,
            idleRefreshInterval,
            maxSnapshotAge = stalenessLimit,
            EndRecordCache.maxEndRecordsFor(heapBytes),
        ) { spec ->
            profiles.expectedRunSeconds(spec.id, spec.workloadClass, spec.request) ?: spec.estimatedSeconds
        }
    private val leaseEndorsement = LeaseEndorsement(loop, http, store, settings.member, settings.peers)
    private val authorityLimits = AuthorityLimits(
        sessionLeaseLength = minOf(stalenessLimit, (settings.workerLeaseSeconds * operatorSettings.sessionLeaseFraction).seconds),
        actionStalenessLimit = stalenessLimit,
        startStalenessLimit = idleRefreshInterval * 2,
    )
    private val membership = Membership(loop, store, replica, leaseEndorsement, settings.member, authorityLimits)
    private val violations = InvariantViolations(onViolation)
    private val guard = ActionGuard(replica, membership, violations)
    private val audit = ActionAudit(loop, replica, membership, violations)
    private val formerIncarnations = FormerIncarnations(loop, replica, settings.peers.map { it.member }, membership.gracePeriod)
    private val leadership = Leadership(loop, store, replica, membership, operatorSettings.leaderLease)
    private val zoneOfMember = settings.peers.associate { it.member to it.zone } + (settings.member to settings.zone)
    private val shardMap = ShardMap(settings.zones, operatorSettings.shardsPerZone.takeIf { it > 0 } ?: zoneOfMember.size)
    private val shardAssigner =
        ShardAssigner(loop, store, replica, leadership, shardMap, zoneOfMember, leaseEndorsement, settings.workerLeaseSeconds)
    private val types = MachineTypeCatalog(loop, http, settings.cloud)
    private val cloudBudget =
        TokenBucket(BudgetAllocator.initialCloudRate(settings.cloudRequestsPerSecond, zoneOfMember.size), CLOUD_BURST_SECONDS, loop.now())
    private val peerStatuses = PeerStatusTable(loop, settings.member, settings.peers)
    private val failureEvidence = FailureEvidence(operatorSettings.failingJobMachineThreshold)
    private val shardOwnerFactory = ShardOwnerFactory(
        ShardConnections(loop, http, store),
        replica,
        ActionControl(membership, guard, audit),
        SharedClusterData(types, profiles, failureEvidence, FailingJobs(replica, failureEvidence)),
        formerIncarnations,
        HeartbeatTimeouts(settings.heartbeatIntervalSeconds, settings.workerLeaseSeconds),
        metrics,
        operatorSettings.stragglerFactor,
    )
    private val ownedShards = OwnedShards()
    private val shardRecordWriter = ShardRecordWriter(loop, store, replica, membership)
    private val shardOwnership =
        ShardOwnership(loop, replica, membership, shardMap, ownedShards, shardOwnerFactory, shardRecordWriter, failureEvidence)
    private val shardTicker = ShardTicker(loop, ownedShards, metrics)
    private val unreachableWorkerWatch = UnreachableWorkerWatch(loop, store, ownedShards, shardOwnership)
    private val imageRecordWriter = ImageRecordWriter(loop, store, replica, membership, ownedShards)
    private val heartbeatRouter = HeartbeatRouter(ownedShards, shardMap, replica, membership, peerStatuses::peersReachStateService)
    private val machineRetirement = MachineRetirement(ownedShards, membership, http, settings.cloud, cloudBudget, loop)
    private val capacityTable = CapacityTable(replica, shardMap, peerStatuses::capacityStatusOf)
    private val schedulingPolicy = SchedulingPolicy(
        settings.teams,
        settings.objectives,
        StarvationPrevention(operatorSettings.starvationThresholdSeconds, operatorSettings.starvationShare),
    )
    private val scheduler = Scheduler(loop, store, replica, leadership, capacityTable, types, schedulingPolicy)
    private val jobFinalizer = JobFinalizer(store, replica, leadership, guard, audit)
    private val cloudMachines = CloudMachines(loop, http, settings.cloud, cloudBudget, membership, types, settings.machineListLagSeconds)
    private val autoscaler = Autoscaler(
        loop,
        replica,
        leadership,
        types,
        cloudMachines,
        MachineReports(replica, shardMap, peerStatuses::statusOf),
        AutoscalerSettings(settings.teams, operatorSettings),
    )
    private val peerStatusExchange = PeerStatusExchange(
        loop,
        http,
        store,
        settings.member,
        settings.peers,
        peerStatuses,
        PeerStatusComposer(loop, store, replica, membership, leadership, ownedShards, shardAssigner, autoscaler),
    )
    private val cancellationBroadcast = CancellationBroadcast(loop, http, settings.peers, replica, maxNoticeAge = stalenessLimit)
    private val jobService = JobService(loop, store, replica, types, settings.teams, cancellationBroadcast)
    private val budgetAllocator = BudgetAllocator(loop, settings, store, replica, leadership, peerStatuses, cloudBudget)
    private val leaderLoop = LeaderLoop(loop, metrics, leadership, shardAssigner, scheduler, jobFinalizer, budgetAllocator)
    private val healthCheck = HealthCheck(loop, store, replica, types, peerStatuses)
    private val submissionLatency = RequestLatency(loop, "submissions")
    private val pollLatency = RequestLatency(loop, "polls")

    /** Handles requests of users, workers and health checks. */
    val clientHandler: RequestHandler =
        metrics.measured(ClientRouter(replica, jobService, heartbeatRouter, healthCheck, submissionLatency, pollLatency))

    /** Handles requests of the other controllers. */
    val clusterHandler: RequestHandler = metrics.measured(PeerRouter(leaseEndorsement, cancellationBroadcast, peerStatusExchange))

    /** Starts all components. Call it once, on the event loop. The order of listeners and timers determines the order of events. */
    fun start() {
        registerListeners()
        types.start()
        replica.start()
        membership.start()
        leaseEndorsement.start()
        leadership.start()
        shardTicker.start()
        unreachableWorkerWatch.start()
        imageRecordWriter.start()
        peerStatusExchange.start()
        autoscaler.start()
        submissionLatency.start()
        metrics.start()
        audit.start()
        pollLatency.start()
        leaderLoop.start()
    }

    private fun registerListeners() {
        replica.addListener(formerIncarnations)
        replica.addListener(shardOwnership)
        replica.addListener(jobFinalizer)
        replica.addListener { changes ->
            changes.peerStatuses.mapNotNull(PeerMessageCodec::decodeStatus).forEach(peerStatuses::recordFromStateService)
        }
        membership.onChange = shardOwnership::reconcile
        peerStatusExchange.onLeaderStatus = { status ->
            shardOwnership.release(status.shardsToRelease)
            machineRetirement.retire(status.machinesToRetire)
        }
    }

    private companion object {
        const val REFRESHES_PER_STALENESS_LIMIT = 4
        const val CLOUD_BURST_SECONDS = 2.0
    }
}
