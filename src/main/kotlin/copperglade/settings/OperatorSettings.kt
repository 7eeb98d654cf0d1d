package copperglade.settings

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * What the operators may set; `docs/operations.md` names the property keys.
 *
 * @property stalenessLimit the longest that anybody acts on old knowledge.
 * @property stalenessMargin the margin between that and the time by which cancelled tasks must have ended.
 * @property sessionLeaseFraction a controller's session lease, as a fraction of the workers' lease.
 * @property leaderLease the leader's session lease.
 * @property shardsPerZone 0: as many as there are controllers.
 * @property stragglerFactor a straggler has run this many times its job's average.
 * @property nearestProfiles past tasks in a prediction.
 * @property fittingSteps gradient steps for each finished task, [fittingRate] the length of a step.
 * @property profileCapacity past tasks remembered.
 * @property starvationThresholdSeconds how long a job waits until it is preferred to the plan.
 * @property starvationShare the share of the machines for jobs that can't meet their deadline any more.
 * @property headroom CPUs kept per CPU in demand.
 * @property idleReplacements how long a machine is idle before it may be returned, in times of replacing one.
 * @property scaleInHysteresisReplacements how slowly the level of demand falls, in the same measure.
 * @property failingJobMachineThreshold on how many machines a job must fail to be taken for failing.
 */
data class OperatorSettings(
    val stalenessLimit: Duration = 30.seconds,
    val stalenessMargin: Duration = DEFAULT_STALENESS_MARGIN,
    val sessionLeaseFraction: Double = 0.55,
    val leaderLease: Duration = 2500.milliseconds,
    val shardsPerZone: Int = 0,
    val stragglerFactor: Double = 1.0,
    val nearestProfileCount: Int = 8,
    val fittingSteps: Int = 4,
    val fittingRate: Double = 0.02,
    val profileCapacity: Int = 800,
    val starvationThresholdSeconds: Double = 60.0,
    val starvationShare: Double = 0.15,
    val headroomFactor: Double = 1.15,
    val minIdleReplacementTimes: Double = 0.6,
    val scaleInHysteresisReplacementTimes: Double = 2.0,
    val failingJobMachineThreshold: Int = 2,
) {
    companion object {
        val DEFAULT_STALENESS_MARGIN = 2.seconds
    }
}
