package copperglade.protocol

/** A machine's name; names are in order of creation and never given twice. */
@JvmInline
value class MachineName(val text: String) {
    override fun toString() = text
}

/** A controller's name; it stays the same over restarts, see [Incarnation]. */
@JvmInline
value class MemberId(val text: String) {
    override fun toString() = text
}

/** The name of a shard of machines: a zone and a number, such as `north.0`. */
@JvmInline
value class ShardName(val text: String) {
    override fun toString() = text
}

/** The name of a team that submits jobs under a guarantee and a limit. */
@JvmInline
value class TeamName(val text: String) {
    override fun toString() = text
}

/** The name of the image that a task runs from. */
@JvmInline
value class ImageName(val text: String) {
    override fun toString() = text
}
