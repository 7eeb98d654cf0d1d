package copperglade.settings

/**
 * The service-level objectives, as far as decisions follow from them.
 *
 * @property deadlineMultiples by load, the multiples of its deadline that its jobs are measured by.
 * @property guaranteeWithinSeconds how soon work within a guarantee should start.
 * @property startedWithinSeconds by load, how soon its tasks should have started, whatever their deadline.
 * @property finishedWithinSeconds by load, how soon its jobs should be done, whatever their deadline.
 */
class ServiceLevelObjectives(
    val deadlineMultiples: Map<String, List<Double>> = emptyMap(),
    val guaranteeWithinSeconds: Double = 10.0,
    val startedWithinSeconds: Map<String, Double> = emptyMap(),
    val finishedWithinSeconds: Map<String, Double> = emptyMap(),
) {
    /** How soon a job of [workloadClass] whose tasks run for [runSeconds] should be done at the latest; null where no objective says so. */
    fun latestEndSeconds(workloadClass: String, runSeconds: Double): Double? =
        listOfNotNull(finishedWithinSeconds[workloadClass], startedWithinSeconds[workloadClass]?.let { it + runSeconds }).minOrNull()
}
