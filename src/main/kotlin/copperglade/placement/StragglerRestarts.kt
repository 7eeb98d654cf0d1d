package copperglade.placement

import copperglade.agents.RunStopper
import copperglade.protocol.MonotonicTime
import copperglade.protocol.secondsSince
import copperglade.tasks.OutcomeWriter
import copperglade.tasks.ShardState
import copperglade.tasks.StopReason
import copperglade.transport.Clock

/**
 * Restarts stragglers where [StragglerDetector] finds it worth the risk. A task is restarted once at most: that it was is
 * recorded with its outcome, so that a later owner does not restart it again.
 */
class StragglerRestarts internal constructor(
    private val state: ShardState,
    private val detector: StragglerDetector,
    private val outcomes: OutcomeWriter,
    private val stopper: RunStopper,
    private val clock: Clock,
) {
    /** Assesses a few stragglers and stops those worth restarting; each starts on its target once its worker confirms the stop. */
    fun restartStragglers(now: MonotonicTime) = detector.findRestarts(state.machines.values, now).forEach(::restart)

    private fun restart(restart: StragglerRestart) {
        val run = restart.run
        run.restartTarget = restart.target
        run.restarted = true
        run.stragglerRunSeconds = run.runningSince?.let { clock.now().secondsSince(it) }
        outcomes.record(run)
        stopper.stop(run, StopReason.RESTARTED)
    }
}
