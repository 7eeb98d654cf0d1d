package copperglade.agents

import copperglade.prediction.ProfileStore
import copperglade.protocol.MachineName
import copperglade.tasks.FailureEvidence

/** What the process remembers about machines beyond their present state: run times of past tasks, and failures. */
class MachineHistory(private val profiles: ProfileStore, private val failureEvidence: FailureEvidence) {
    /** Drops what is remembered about [machine], which is gone. */
    fun remove(machine: MachineName) {
        profiles.forgetMachine(machine)
        failureEvidence.removeMachine(machine)
    }
}
