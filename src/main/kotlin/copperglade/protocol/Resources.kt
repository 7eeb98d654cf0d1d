package copperglade.protocol

/** The resources that a task requests, or the capacity of a machine. */
data class Resources(val cpus: Double, val gpus: Double, val memoryGb: Double) {
    operator fun plus(other: Resources) =
        Resources(cpus + other.cpus, gpus + other.gpus, memoryGb + other.memoryGb)

    operator fun minus(other: Resources) =
        Resources(cpus - other.cpus, gpus - other.gpus, memoryGb - other.memoryGb)

    operator fun times(factor: Int) = Resources(cpus * factor, gpus * factor, memoryGb * factor)

    /** Whether [capacity] holds these resources, up to the rounding of sums of decimal fractions. */
    fun fitsIn(capacity: Resources): Boolean = cpus <= capacity.cpus + ROUNDING_TOLERANCE &&
        gpus <= capacity.gpus + ROUNDING_TOLERANCE &&
        memoryGb <= capacity.memoryGb + ROUNDING_TOLERANCE

    companion object {
        private const val ROUNDING_TOLERANCE = 1e-6
        val ZERO = Resources(0.0, 0.0, 0.0)
    }
}
