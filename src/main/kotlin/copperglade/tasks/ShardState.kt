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
 * The state of one owned shard: its fencing tokens, its runs and its machines.
 *
 * Invariants: [fencingToken] is always one of this owner's own tokens, and never lower than [grantToken]; no attempt number is
 * used twice under one token.
 *
 * @param grantToken the fencing token of the grant. Once a worker has received this token or a higher one, no command of an earlier
 *   owner can change the state that the worker reports.
 * @param grantedAt when this owner was created. The shard's former owner may have acknowledged heartbeats until then.
 */
class ShardState(
    val name: ShardName,
    val grantToken: FencingToken,
    val grantedAt: MonotonicTime,
    private val replica: Replica,
) {
    private val ownTokens = hashSetOf(grantToken)
    private var lastAttemptNumber = 0
    val runs = RunTable()
    val machines = HashMap<MachineName, Machine>()

    /** The current token, under which commands are sent. */
    var fencingToken = grantToken
        private set

    /** Whether commands may be sent: the replica is at least as new as the grant, and the shard has not been released. */
    var isOpen = false

    /** Whether this owner has ever held [token]. Assignments and commands that carry such a token were made under the current grant. */
    fun isOwnToken(token: FencingToken): Boolean = token in ownTokens

    /** Replaces the token by the higher one [next]. Workers that have received it refuse late copies of commands under the old token. */
    fun raiseToken(next: FencingToken) {
        ownTokens += next
        fencingToken = next
        lastAttemptNumber = 0
    }

    /** Returns a new attempt that has never been used before. */
    fun nextAttempt(): Attempt = Attempt.of(fencingToken, ++lastAttemptNumber)

    /**
     * Whether [machine]'s worker has reported [grantToken] or a higher token. From then on commands of earlier owners can't take effect;
     * only the reports of such a worker are final.
     */
    fun isFenced(machine: Machine): Boolean = machine.fencingToken >= grantToken

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
