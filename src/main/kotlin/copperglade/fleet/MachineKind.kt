package copperglade.fleet

/** A kind of machine that the cloud rents out: a machine type in a zone, as a spot or an on-demand machine. */
internal data class MachineKind(val type: String, val zone: String, val spot: Boolean)
