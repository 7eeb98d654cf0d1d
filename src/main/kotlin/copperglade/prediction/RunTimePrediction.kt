package copperglade.prediction

/** A predicted range of run times: the run times of similar finished tasks in ascending order. [runSeconds] must not be empty. */
class RunTimePrediction(val runSeconds: List<Double>) {
    val bestSeconds: Double get() = runSeconds.first()
    val worstSeconds: Double get() = runSeconds.last()
    val averageSeconds: Double get() = runSeconds.average()
}
