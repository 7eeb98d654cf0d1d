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

/** Records how long completed array tasks ran, for the prediction of later ones. */
class ProfileRecorder(private val profiles: ProfileStore, private val clock: Clock) {
    /** Records the run time of [run], which has just completed on [machine]; no effect for services and for runs not seen running. */
    fun record(run: Run, machine: Machine) {
        val runningSince = run.runningSince ?: return
        val seconds = (clock.now().millis - runningSince.millis) / MILLIS_PER_SECOND
        if (run.spec.kind != JobKind.ARRAY || run.state != RunState.RUNNING) return
        run.stragglerRunSeconds?.let {
            log.info("straggler_completed task={} machine={} run_seconds={} former_run_seconds={}", run.task, machine.name, seconds, it)
        }
        profiles.record(TaskProfile(machine.name, factors(run, machine), seconds))
    }

    private fun factors(run: Run, machine: Machine) =
        TaskFactors(run.task.job, run.spec.workloadClass, machine.typeName, run.spec.request, machine.runs.size)

    private companion object {
        const val MILLIS_PER_SECOND = 1000.0
        val log = LoggerFactory.getLogger("agents")
    }
}
