package copperglade.settings

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What the operators may set; `docs/operations.md` says what each is for. */
class OperatorSettings(
    val stalenessLimit: Duration = 30.seconds,
    val stalenessMargin: Duration = DEFAULT_STALENESS_MARGIN,
    val sessionLeaseFraction: Double = 0.55,
    val leaderLease: Duration = 2500.milliseconds,
    val shardsPerZone: Int = 0,
    val stragglerFactor: Double = 1.0,
    val nearestProfiles: Int = 8,
    val fittingSteps: Int = 4,
    val fittingRate: Double = 0.02,
    val profileCapacity: Int = 800,
    val starvationThresholdSeconds: Double = 60.0,
    val starvationShare: Double = 0.15,
    val headroom: Double = 1.15,
    val idleReplacements: Double = 0.6,
    val scaleInHysteresisReplacements: Double = 2.0,
    val failingJobMachineThreshold: Int = 2,
) {
    companion object {
        val DEFAULT_STALENESS_MARGIN = 2.seconds
    }
}
