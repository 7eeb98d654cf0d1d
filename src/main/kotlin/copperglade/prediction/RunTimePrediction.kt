package copperglade.prediction

/** A predicted run time: always a range, given by the run times of similar finished tasks in ascending order; never empty. */
class RunTimePrediction(val runSeconds: List<Double>) {
    val bestSeconds: Double get() = runSeconds.first()
    val worstSeconds: Double get() = runSeconds.last()
    val averageSeconds: Double get() = runSeconds.average()
}
