package copperglade.protocol

/** The revision of a key's last change; 0 means that the key does not exist. */
@JvmInline
value class Revision(val number: Long) : Comparable<Revision> {
    override fun compareTo(other: Revision) = number.compareTo(other.number)

    override fun toString() = number.toString()

    companion object {
        val ABSENT = Revision(0)
    }
}

/**
 * The token under which a shard owner commands the shard's workers: the revision of the shard's key. A worker refuses commands with
 * a lower token than the highest that the worker has received.
 */
@JvmInline
value class FencingToken(val number: Long) : Comparable<FencingToken> {
    override fun compareTo(other: FencingToken) = number.compareTo(other.number)

    override fun toString() = number.toString()

    companion object {
        val NONE = FencingToken(0)
    }
}

/** Identifies one process of a controller: the number of its session lease, which the state service never reuses. */
@JvmInline
value class Incarnation(val number: Long) {
    override fun toString() = number.toString()
}

/** The state service's identifier of a session lease. */
@JvmInline
value class LeaseId(val number: Long) {
    override fun toString() = number.toString()
}
