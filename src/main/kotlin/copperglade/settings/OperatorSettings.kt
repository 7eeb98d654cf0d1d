package copperglade.settings

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The settings that operators may change; `docs/operations.md` describes the property keys.
 *
 * @property stalenessLimit the maximum age of state on which a controller acts.
 * @property stalenessMargin the margin between [stalenessLimit] and the time by which the tasks of a cancelled job must have ended.
 * @property sessionLeaseFraction the length of a controller's session lease, as a fraction of the workers' lease.
 * @property leaderLease the length of the leader's lease.
 * @property shardsPerZone the number of shards in each zone; 0 means one for each controller.
 * @property stragglerFactor a task is a straggler once its run time exceeds its job's average by this factor.
 * @property nearestProfileCount the number of most similar past tasks from which a prediction is made.
 * @property fittingSteps the number of gradient steps after each finished task.
 * @property fittingRate the length of a gradient step.
 * @property profileCapacity the maximum number of past tasks that are stored for predictions.
 * @property starvationThresholdSeconds the waiting time after which a job is starving and takes precedence over the plan.
 * @property starvationShare the share of the machines that is available to starving jobs that can no longer meet their deadline.
 * @property headroomFactor the target capacity in CPUs for each CPU of demand.
 * @property minIdleReplacementTimes the idle time after which a machine may be returned, in multiples of the time to replace a machine.
 * @property scaleInHysteresisReplacementTimes the time constant of the demand level's decline, in multiples of the time to replace a
 * machine.
 * @property failingJobMachineThreshold the number of machines on which a job must have failed to be classified as failing.
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
