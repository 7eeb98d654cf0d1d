package copperglade.protocol

/** A job's id as its user chose it. */
@JvmInline
value class JobId(val text: String) {
    override fun toString() = text

    companion object {
        private val FORM = Regex("job-[0-9]{1,60}")

        fun parse(text: String): JobId? = if (FORM.matches(text)) JobId(text) else null
    }
}

/** One task of a job, as workers name it: `job-000412/3`. */
data class TaskId(val job: JobId, val index: Int) {
    override fun toString() = "$job/$index"

    companion object {
        fun parse(text: String): TaskId? {
            val slash = text.lastIndexOf('/')
            if (slash < 0) return null
            val job = JobId.parse(text.substring(0, slash)) ?: return null
            val index = text.substring(slash + 1).toIntOrNull() ?: return null
            return if (index >= 0) TaskId(job, index) else null
        }
    }
}

/** A machine's name; names are in order of creation. */
@JvmInline
value class MachineName(val text: String) {
    override fun toString() = text
}

@JvmInline
value class MemberId(val text: String) {
    override fun toString() = text
}

/** One life of a controller: the number of its session lease, which the state service never gives twice. */
@JvmInline
value class Incarnation(val number: Long) {
    override fun toString() = number.toString()
}

@JvmInline
value class ShardName(val text: String) {
    override fun toString() = text
}

@JvmInline
value class TeamName(val text: String) {
    override fun toString() = text
}

@JvmInline
value class ImageName(val text: String) {
    override fun toString() = text
}

/** The revision of a key's last change; 0 means that the key does not exist. */
@JvmInline
value class Revision(val number: Long) : Comparable<Revision> {
    override fun compareTo(other: Revision) = number.compareTo(other.number)

    override fun toString() = number.toString()

    companion object {
        val ABSENT = Revision(0)
    }
}

/** The right to command a shard's workers: the revision of the shard's key. */
@JvmInline
value class FencingToken(val number: Long) : Comparable<FencingToken> {
    override fun compareTo(other: FencingToken) = number.compareTo(other.number)

    override fun toString() = number.toString()

    companion object {
        val NONE = FencingToken(0)
    }
}

/** An attempt at a task. Drawn from the fencing token, so that no two owners ever choose the same. */
@JvmInline
value class Attempt(val number: Long) {
    override fun toString() = number.toString()

    companion object {
        private const val COUNTER_BITS = 20

        fun of(fencingToken: FencingToken, counter: Int): Attempt = Attempt((fencingToken.number shl COUNTER_BITS) or counter.toLong())
    }
}

/** The state service's name for a session lease. */
@JvmInline
value class LeaseId(val number: Long) {
    override fun toString() = number.toString()
}

/** A reading of this process's steady clock, in milliseconds. */
@JvmInline
value class MonotonicTime(val ms: Long) : Comparable<MonotonicTime> {
    override fun compareTo(other: MonotonicTime) = ms.compareTo(other.ms)

    operator fun plus(span: kotlin.time.Duration) = MonotonicTime(ms + span.inWholeMilliseconds)

    operator fun minus(span: kotlin.time.Duration) = MonotonicTime(ms - span.inWholeMilliseconds)

    companion object {
        val NEVER = MonotonicTime(Long.MIN_VALUE / 4)
    }
}

/** Seconds from [earlier] to this moment. */
fun MonotonicTime.secondsSince(earlier: MonotonicTime): Double = (ms - earlier.ms) / 1000.0

/** Host and port. */
data class Endpoint(val host: String, val port: Int) {
    override fun toString() = "$host:$port"

    companion object {
        fun parse(text: String): Endpoint? {
            val colon = text.lastIndexOf(':')
            if (colon <= 0) return null
            val port = text.substring(colon + 1).toIntOrNull() ?: return null
            return if (port in 1..65535) Endpoint(text.substring(0, colon), port) else null
        }
    }
}
