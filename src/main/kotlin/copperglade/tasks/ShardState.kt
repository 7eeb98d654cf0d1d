package copperglade.tasks

import copperglade.protocol.Attempt
import copperglade.protocol.FencingToken
import copperglade.protocol.MachineName
import copperglade.protocol.Resources
import copperglade.protocol.ShardName
import copperglade.protocol.TaskId

/**
 * What the parts of one shard's owner share: the shard's fencing tokens, its runs and its machines.
 *
 * Invariants: [fencingToken] is always one of our own, and never lower than [grantToken]; attempt numbers are never used twice
 * under one token.
 */
class ShardState(
    val context: ShardContext,
    val name: ShardName,
    /** The fencing token of our grant. What a worker says after it has seen this one or a higher one is final. */
    val grantToken: FencingToken,
) {
    private val loop = context.loop
    private val ownTokens = hashSetOf(grantToken)
    private var attempts = 0
    val runs = RunTable()
    val machines = HashMap<MachineName, Machine>()

    /** When this owner was made. The shard's former owner may have answered workers until then. */
    val grantedAt = loop.now()

    /** The token under which commands go out now. */
    var fencingToken = grantToken
        private set

    /** Nothing is commanded until the records are known to be as new as the grant, nor once the shard is given up. */
    var open = false

    /** Whether [fencingToken] is one of those that this owner has had: what bears it was assigned or commanded under our grant. */
    fun isOwnToken(token: FencingToken): Boolean = token in ownTokens

    /** Takes up a higher token; late copies of commands under the old one are refused by workers that have seen the new one. */
    fun raiseToken(next: FencingToken) {
        ownTokens += next
        fencingToken = next
        attempts = 0
    }

    /** A new attempt, never used before. */
    fun nextAttempt(): Attempt = Attempt.of(fencingToken, ++attempts)

    /**
     * Whether the machine's worker has seen a token of ours. Only what it says after that is final: earlier owners'
     * commands can't act any more.
     */
    fun isFenced(machine: Machine): Boolean = machine.fencingToken >= grantToken

    /** What a task takes, by our runs or by the records; null where neither knows it. */
    fun requestOf(task: TaskId): Resources? {
        val run = runs[task]
        return run?.spec?.request ?: context.replica.jobs[task.job]
            ?.spec
            ?.request
    }
}
