package copperglade.settings

/**
 * The service-level objectives that affect decisions. The maps are keyed by workload class.
 *
 * @property deadlineMultiples the multiples of a job's deadline by which jobs of the class are measured.
 * @property guaranteeWithinSeconds the time within which tasks should start that are covered by their team's guarantee.
 * @property startedWithinSeconds the time within which tasks of the class should have started, regardless of deadlines.
 * @property finishedWithinSeconds the time within which jobs of the class should be done, regardless of deadlines.
 */
class ServiceLevelObjectives(
    val deadlineMultiples: Map<String, List<Double>> = emptyMap(),
    val guaranteeWithinSeconds: Double = 10.0,
    val startedWithinSeconds: Map<String, Double> = emptyMap(),
    val finishedWithinSeconds: Map<String, Double> = emptyMap(),
) {
    /**
     * Returns the time within which a job of [workloadClass] should be done at the latest if its tasks run for [runSeconds]; null where
     * no objective applies.
     */
    fun latestEndSeconds(workloadClass: String, runSeconds: Double): Double? =
        listOfNotNull(finishedWithinSeconds[workloadClass], startedWithinSeconds[workloadClass]?.let { it + runSeconds }).minOrNull()
}
