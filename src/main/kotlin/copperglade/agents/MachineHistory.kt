package copperglade.agents

import copperglade.prediction.ProfileStore
import copperglade.protocol.MachineName
import copperglade.tasks.FailureEvidence

/** The history of machines that this process keeps: run times of past tasks, and failures. */
class MachineHistory(private val profiles: ProfileStore, private val failureEvidence: FailureEvidence) {
    /** Drops the history of [machine], which was removed from its shard. */
    fun remove(machine: MachineName) {
        profiles.removeMachine(machine)
        failureEvidence.removeMachine(machine)
    }
}
