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

/** The right to command a shard's workers: the revision of the shard's key. Workers refuse a lower one than they have seen. */
@JvmInline
value class FencingToken(val number: Long) : Comparable<FencingToken> {
    override fun compareTo(other: FencingToken) = number.compareTo(other.number)

    override fun toString() = number.toString()

    companion object {
        val NONE = FencingToken(0)
    }
}

/** One process of a controller: the number of its session lease, which the state service never gives twice. */
@JvmInline
value class Incarnation(val number: Long) {
    override fun toString() = number.toString()
}

/** The state service's name for a session lease. */
@JvmInline
value class LeaseId(val number: Long) {
    override fun toString() = number.toString()
}
