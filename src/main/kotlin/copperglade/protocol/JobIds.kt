package copperglade.protocol

/** A job's id, chosen by the job's user. */
@JvmInline
value class JobId(val text: String) {
    override fun toString() = text

    companion object {
        private val FORM = Regex("job-[0-9]{1,60}")

        /** The id, or null where [text] isn't of the form `job-000412`. */
        fun parse(text: String): JobId? = if (FORM.matches(text)) JobId(text) else null
    }
}

/** One task of a job, as workers name it: `job-000412/3`. */
data class TaskId(val job: JobId, val index: Int) {
    override fun toString() = "$job/$index"

    companion object {
        /** The id, or null where [text] isn't a job's id, a slash and an index of at least 0. */
        fun parse(text: String): TaskId? {
            val slash = text.lastIndexOf('/')
            if (slash < 0) return null
            val job = JobId.parse(text.substring(0, slash)) ?: return null
            val index = text.substring(slash + 1).toIntOrNull() ?: return null
            return if (index >= 0) TaskId(job, index) else null
        }
    }
}

/** An attempt at a task. Its number contains the shard owner's fencing token, so that no two owners ever choose the same number. */
@JvmInline
value class Attempt(val number: Long) {
    override fun toString() = number.toString()

    /** The fencing token under which the attempt was chosen. */
    val fencingToken: FencingToken get() = FencingToken(number ushr COUNTER_BITS)

    companion object {
        private const val COUNTER_BITS = 20

        /** The attempt with the number [counter] under [fencingToken]. */
        fun of(fencingToken: FencingToken, counter: Int): Attempt = Attempt((fencingToken.number shl COUNTER_BITS) or counter.toLong())
    }
}
