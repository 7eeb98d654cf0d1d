package copperglade.fleet

/** What the cloud rents out: machines of a type, in a zone, as spot or on-demand machines. */
internal data class MachineKind(val type: String, val zone: String, val spot: Boolean)
