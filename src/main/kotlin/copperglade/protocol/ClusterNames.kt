package copperglade.protocol

/** A machine's name. Names ascend in order of creation and are never reused. */
@JvmInline
value class MachineName(val text: String) {
    override fun toString() = text
}

/** A controller's name, which stays the same over restarts; an [Incarnation] identifies one process of a controller. */
@JvmInline
value class MemberId(val text: String) {
    override fun toString() = text
}

/** The name of a shard of machines: a zone and a number, such as `north.0`. */
@JvmInline
value class ShardName(val text: String) {
    override fun toString() = text
}

/** The name of a team that submits jobs and has guaranteed capacity and a capacity limit. */
@JvmInline
value class TeamName(val text: String) {
    override fun toString() = text
}

/** The name of the image that a task runs from. */
@JvmInline
value class ImageName(val text: String) {
    override fun toString() = text
}
