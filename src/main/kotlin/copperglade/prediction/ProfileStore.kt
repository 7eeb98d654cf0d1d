package copperglade.prediction

import copperglade.protocol.JobId
import copperglade.protocol.MachineName
import copperglade.protocol.Resources

/**
 * Stores the profiles of tasks that finished under this controller, and predicts run times from these profiles. The store is in
 * memory only: a restarted controller predicts nothing until tasks have finished under it.
 *
 * @param nearestTasks the largest number of similar tasks that a prediction is made of.
 * @param fittingSteps the number of a machine's latest tasks that a finished task is compared with to fit the machine's weights.
 * @param fittingRate how far each comparison moves the weights.
 * @param capacity the largest number of profiles that are kept.
 */
class ProfileStore(
    private val nearestTasks: Int,
    private val fittingSteps: Int,
    private val fittingRate: Double,
    private val capacity: Int,
) {
    private val profiles = ArrayDeque<TaskProfile>()
    private val weights = HashMap<MachineName, FactorWeights>()

    /** The latest tasks of each machine, newest first. */
    private val latestTasks = HashMap<MachineName, ArrayDeque<TaskProfile>>()
    private val averages = RunTimeAverages()
    private val speeds = MachineSpeeds(profiles, averages)

    /** Adds the profile of a finished task, evicts the oldest profile of a full store, and fits the weights of the task's machine. */
    fun record(profile: TaskProfile) {
        fitWeights(profile)
        profiles.addLast(profile)
        averages.add(profile)
        if (profiles.size > capacity) averages.remove(profiles.removeFirst())
        speeds.onRecorded()
    }

    private fun fitWeights(profile: TaskProfile) {
        val machineWeights = weights.getOrPut(profile.machine) { FactorWeights(fittingRate) }
        val latest = latestTasks.getOrPut(profile.machine) { ArrayDeque() }
        latest.forEach { machineWeights.fit(profile, it) }
        latest.addFirst(profile)
        if (latest.size > fittingSteps) latest.removeLast()
    }

    /**
     * Returns the finished tasks of [workloadClass] that take more than [doneSeconds] on a machine of average speed. A task that has
     * already done [doneSeconds] of work resembles these. Without this condition a task that merely has much work would appear to
     * finish sooner when restarted.
     */
    fun similarTasks(workloadClass: String, doneSeconds: Double = 0.0): List<SimilarTask> = profiles.mapNotNull { profile ->
        if (profile.factors.workloadClass != workloadClass) return@mapNotNull null
        SimilarTask(profile, profile.runSeconds * speedOf(profile.machine)).takeIf { it.secondsOnAverageMachine > doneSeconds }
    }

    /**
     * Predicts the run time of a task on [machine] from the nearest of [similarTasks] (section 5.1 of the paper). Returns null where
     * there are too few similar tasks.
     */
    fun predict(machine: MachineName, factors: TaskFactors, similarTasks: List<SimilarTask>): RunTimePrediction? {
        val machineWeights = weights[machine] ?: UNFITTED_WEIGHTS
        val nearest = NearestTasks(nearestTasks)
        for (task in similarTasks) nearest.offer(machineWeights.distance(task.profile.factors, factors), task.secondsOnAverageMachine)
        if (nearest.size < MIN_SIMILAR_TASKS) return null
        val speed = speedOf(machine)
        return RunTimePrediction(nearest.runTimesSeconds.map { it / speed }.sorted())
    }

    /**
     * Predicts the run time of a task on [machine] that has already done [doneSeconds] of work. Returns null where there are too few
     * similar tasks.
     */
    fun predict(machine: MachineName, factors: TaskFactors, doneSeconds: Double = 0.0): RunTimePrediction? =
        predict(machine, factors, similarTasks(factors.workloadClass, doneSeconds))

    /** Returns the measured speed of [machine], where 1 is the average. */
    fun speedOf(machine: MachineName): Double = speeds.of(machine)

    /** Returns the predicted average run time of a task that is not placed yet; null where too few similar tasks have finished. */
    fun expectedRunSeconds(job: JobId, workloadClass: String, request: Resources): Double? =
        predict(ANY_MACHINE, TaskFactors(job, workloadClass, type = "", request, tasksOnMachine = 0))?.averageSeconds

    /**
     * Returns the average run time of the finished tasks of [job], or of [workloadClass] where too few tasks of the job have
     * finished; null where too few tasks of the workload class have finished either.
     */
    fun averageRunSeconds(job: JobId, workloadClass: String): Double? = averages.ofJob(job) ?: averages.ofWorkloadClass(workloadClass)

    /** Drops the fitted weights of a machine that was removed. The profiles of the machine's tasks still count. */
    fun removeMachine(machine: MachineName) {
        weights.remove(machine)
        latestTasks.remove(machine)
    }

    private companion object {
        const val MIN_SIMILAR_TASKS = 3
        val UNFITTED_WEIGHTS = FactorWeights(fittingRate = 0.0)
        val ANY_MACHINE = MachineName("")
    }
}
