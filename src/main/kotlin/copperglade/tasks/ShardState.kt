package copperglade.tasks

import copperglade.protocol.Attempt
import copperglade.protocol.FencingToken
import copperglade.protocol.ImageName
import copperglade.protocol.MachineName
import copperglade.protocol.MonotonicTime
import copperglade.protocol.Resources
import copperglade.protocol.ShardName
import copperglade.protocol.TaskId
import copperglade.storage.Replica

/**
 * The state of one owned shard: its fencing token, its runs and its machines.
 *
 * Invariant: no attempt number is used twice under one token.
 *
 * @param fencingToken the fencing token of the grant, under which commands are sent. Once a worker has received this token or a higher
 *   one, no command of an earlier owner can change the state that the worker reports.
 * @param grantedAt when this owner was created. The shard's former owner may have acknowledged heartbeats until then.
 */
class ShardState(
    val name: ShardName,
    val fencingToken: FencingToken,
    val grantedAt: MonotonicTime,
    private val replica: Replica,
) {
    private var lastAttemptNumber = 0
    val runs = RunTable()
    val machines = HashMap<MachineName, Machine>()

    /** Whether commands may be sent: the replica is at least as new as the grant, and the shard has not been released. */
    var isOpen = false

    /** Returns a new attempt that has never been used before. */
    fun nextAttempt(): Attempt = Attempt.of(fencingToken, ++lastAttemptNumber)

    /**
     * Whether [machine]'s worker has reported [fencingToken] or a higher token. From then on commands of earlier owners can't take effect;
     * only the reports of such a worker are final.
     */
    fun isFenced(machine: Machine): Boolean = machine.fencingToken >= fencingToken

    /** Returns the resources that [task] requests, by the shard's runs or else by the records; null if neither contains the task. */
    fun requestOf(task: TaskId): Resources? = runs[task]?.spec?.request ?: replica.jobs[task.job]
        ?.spec
        ?.request

    /** Returns the images that a former owner recorded for [machine]. */
    fun recordedImages(machine: MachineName): List<ImageName> = replica.images[name]
        ?.value
        ?.byMachine
        ?.get(machine)
        .orEmpty()
}
