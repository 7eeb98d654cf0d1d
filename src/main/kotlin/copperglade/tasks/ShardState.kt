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
 * @param grantToken the fencing token of the grant. What a worker reports after it has seen this token or a higher one is final.
 * @param grantedAt when this owner was created. The shard's former owner may have acknowledged heartbeats until then.
 */
class ShardState(
    val name: ShardName,
    val grantToken: FencingToken,
    val grantedAt: MonotonicTime,
    private val replica: Replica,
) {
    private val ownTokens = hashSetOf(grantToken)
    private var attempts = 0
    val runs = RunTable()
    val machines = HashMap<MachineName, Machine>()

    /** The token under which commands are sent now. */
    var fencingToken = grantToken
        private set

    /** No command is sent before the records are known to be as new as the grant, nor after the shard has been released. */
    var isOpen = false

    /** Whether this owner has ever held [token]: whatever carries it was assigned or commanded under the present grant. */
    fun isOwnToken(token: FencingToken): Boolean = token in ownTokens

    /** Replaces the token by a higher one; workers that have seen it refuse late copies of commands under the old one. */
    fun raiseToken(next: FencingToken) {
        ownTokens += next
        fencingToken = next
        attempts = 0
    }

    /** A new attempt, never used before. */
    fun nextAttempt(): Attempt = Attempt.of(fencingToken, ++attempts)

    /**
     * Whether the machine's worker has seen a token of this owner. Only what it reports after that is final: commands of earlier
     * owners can't take effect any more.
     */
    fun isFenced(machine: Machine): Boolean = machine.fencingToken >= grantToken

    /** The resources that [task] requests, by the shard's runs or by the records; null where neither knows it. */
    fun requestOf(task: TaskId): Resources? = runs[task]?.spec?.request ?: replica.jobs[task.job]
        ?.spec
        ?.request

    /** The images that a former owner recorded for [machine]. */
    fun recordedImages(machine: MachineName): List<ImageName> = replica.images[name]
        ?.value
        ?.byMachine
        ?.get(machine)
        .orEmpty()
}
