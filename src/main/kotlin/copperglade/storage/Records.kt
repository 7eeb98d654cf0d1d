package copperglade.storage

import com.fasterxml.jackson.core.JsonGenerator
import com.fasterxml.jackson.databind.JsonNode
import copperglade.protocol.FencingToken
import copperglade.protocol.ImageName
import copperglade.protocol.Incarnation
import copperglade.protocol.JobId
import copperglade.protocol.JobKind
import copperglade.protocol.JobSpec
import copperglade.protocol.JobSpecCodec
import copperglade.protocol.JobStatus
import copperglade.protocol.Json
import copperglade.protocol.MachineName
import copperglade.protocol.MemberId
import copperglade.protocol.ParsedSubmission
import copperglade.protocol.Revision
import copperglade.protocol.ShardName
import copperglade.protocol.TaskId
import copperglade.protocol.booleanOrNull
import copperglade.protocol.longOrNull
import copperglade.protocol.stringOrNull
import copperglade.protocol.writeJsonArray
import copperglade.protocol.writeJsonObject
import java.io.IOException
import java.util.BitSet

/** A record as it stands in the state service. */
class StoredRecord<T>(val value: T, val revision: Revision)

/**
 * An accepted job that is not over.
 *
 * @property dependencies jobs that have to be done before it and were not when it was accepted; often none.
 */
class LiveRecord(val spec: JobSpec, val acceptedAtMs: Long, val cancelled: Boolean, val dependencies: List<JobId> = emptyList()) {
    fun withCancelledMark() = LiveRecord(spec, acceptedAtMs, cancelled = true, dependencies)
}

/**
 * Tasks that the leader gave to a shard.
 *
 * @property fencingToken the shard's revision at that time: an owner that still holds it knows that nobody before it can have
 * started these tasks.
 * @property generation tells apart repeated assignments of a task to the same shard.
 */
class AssignmentGroup(val shard: ShardName, val fencingToken: FencingToken, val generation: Int, val tasks: BitSet)

/** A part of a packed record that says how often it was changed: what has the same number is the same. */
interface Versioned {
    val version: Int
}

/**
 * Where the tasks of one page of a job are; written by the leader alone.
 *
 * @property lastGeneration kept although its group may be gone: a generation used twice would take an old give-back
 * for that of a new assignment.
 * @property frontier no task from here on has ever been assigned, so none can have been given back either.
 */
class AssignmentRange(
    val groups: List<AssignmentGroup>,
    val preemptedForGuarantee: BitSet,
    val lastGeneration: Int,
    val frontier: Int,
    override val version: Int,
) : Versioned {
    companion object {
        val EMPTY = AssignmentRange(emptyList(), BitSet(), 0, 0, 0)
    }
}

/**
 * What became of a page's tasks in one shard; written by the shard's owner alone.
 *
 * @property returned by generation, the tasks that are surely on no machine of the shard any more.
 * @property failing whether the shard's owner has found that the job fails on whichever machine it runs.
 */
class OutcomeRecord(
    val done: BitSet,
    val returned: Map<Int, BitSet>,
    val restarted: BitSet,
    override val version: Int,
    val failing: Boolean = false,
) : Versioned {
    companion object {
        val EMPTY = OutcomeRecord(BitSet(), emptyMap(), BitSet(), 0)
    }
}

class EndRecord(val status: JobStatus, val tasksDone: Int)

/** Who owns a shard; the revision of the record is the fencing token of the shard's workers. */
data class ShardRecord(val member: MemberId, val incarnation: Incarnation) {
    /** Nobody owns it: [member] gave it up and had better not get it back at once. */
    val released: Boolean get() = incarnation == NO_INCARNATION

    companion object {
        /** The state service's leases are numbered from 1. */
        private val NO_INCARNATION = Incarnation(0)

        fun releasedBy(member: MemberId) = ShardRecord(member, NO_INCARNATION)
    }
}

/** Which images the machines of a shard are known to hold: only a hint, so that a new owner places as well as the last. */
class ImageRecord(val byMachine: Map<MachineName, List<ImageName>>)

data class MemberRecord(val incarnation: Incarnation)

data class LeaderRecord(val member: MemberId, val incarnation: Incarnation)
