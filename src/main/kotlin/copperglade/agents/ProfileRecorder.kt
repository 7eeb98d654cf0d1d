package copperglade.agents

import copperglade.prediction.ProfileStore
import copperglade.prediction.TaskFactors
import copperglade.prediction.TaskProfile
import copperglade.protocol.JobKind
import copperglade.tasks.Machine
import copperglade.tasks.Run
import copperglade.tasks.RunState
import copperglade.transport.Clock
import org.slf4j.LoggerFactory

/** Records the run times of completed array tasks, from which the run times of later tasks are predicted. */
class ProfileRecorder(private val profiles: ProfileStore, private val clock: Clock) {
    /** Records the run time of [run], just completed on [machine]. No effect unless it is an array task that was reported as running. */
    fun record(run: Run, machine: Machine) {
        val runningSince = run.runningSince ?: return
        val runSeconds = (clock.now().millis - runningSince.millis) / MILLIS_PER_SECOND
        if (run.spec.kind != JobKind.ARRAY || run.state != RunState.RUNNING) return
        run.stragglerRunSeconds?.let {
            log.info("straggler_completed task={} machine={} run_seconds={} former_run_seconds={}", run.task, machine.name, runSeconds, it)
        }
        profiles.record(TaskProfile(machine.name, taskFactors(run, machine), runSeconds))
    }

    private fun taskFactors(run: Run, machine: Machine) =
        TaskFactors(run.task.job, run.spec.workloadClass, machine.typeName, run.spec.request, machine.runs.size)

    private companion object {
        const val MILLIS_PER_SECOND = 1000.0
        val log = LoggerFactory.getLogger("agents")
    }
}
