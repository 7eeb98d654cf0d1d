package copperglade.agents

import copperglade.protocol.MonotonicTime
import copperglade.tasks.FailureEvidence
import copperglade.tasks.MachineVerdict
import copperglade.tasks.RunState
import copperglade.tasks.ShardState
import kotlin.time.Duration.Companion.milliseconds

/** Observes the tasks that run on machines on which others have failed: a task that goes on running speaks for its machine. */
class MachineTrials(private val state: ShardState, private val failureEvidence: FailureEvidence) {
    /** Records for how long the tasks on machines that are not [MachineVerdict.HEALTHY] have been running at [now]. */
    fun observe(now: MonotonicTime) {
        for (machine in state.machines.values) {
            if (failureEvidence.verdictOn(machine.name) == MachineVerdict.HEALTHY) continue
            for (run in machine.runs) {
                val runningSince = run.runningSince?.takeIf { run.state == RunState.RUNNING } ?: continue
                val runDuration = (now.millis - runningSince.millis).milliseconds
                failureEvidence.recordSurvival(run.task.job, machine.name, run.startSentAt, runDuration)
            }
        }
    }
}
