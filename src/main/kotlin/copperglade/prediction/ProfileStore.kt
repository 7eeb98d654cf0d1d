package copperglade.prediction

import copperglade.protocol.JobId
import copperglade.protocol.MachineName
import copperglade.protocol.Resources

/**
 * The profiles of tasks that finished while this controller watched, and the predictions drawn from them. Nothing is kept
 * across a restart: a new controller predicts nothing until tasks have finished under it.
 *
 * @param nearestTasks how many similar tasks a prediction is made of.
 * @param fittingSteps how many of a machine's latest tasks a finished one is compared with to fit the machine's weights.
 * @param fittingRate how far each comparison moves the weights.
 * @param capacity how many profiles are kept.
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

    /** Adds the profile of a finished task, which may displace the oldest, and fits the weights of its machine. */
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
     * The finished tasks of [load] that ran for more than [doneSeconds] on a machine of average speed, which a task that has
     * already done so much resembles. Without that condition a task that is merely long would look as if it finished sooner
     * when restarted.
     */
    fun similarTasks(load: String, doneSeconds: Double = 0.0): List<SimilarTask> = profiles.mapNotNull { profile ->
        if (profile.factors.load != load) return@mapNotNull null
        SimilarTask(profile, profile.runSeconds * speedOf(profile.machine)).takeIf { it.secondsOnAverageMachine > doneSeconds }
    }

    /**
     * Predicts the run time of a task on [machine] by the nearest of [similarTasks] (section 5.1); null where there are too few.
     */
    fun predict(machine: MachineName, factors: TaskFactors, similarTasks: List<SimilarTask>): RunTimePrediction? {
        val machineWeights = weights[machine] ?: UNFITTED_WEIGHTS
        val nearest = NearestTasks(nearestTasks)
        for (task in similarTasks) nearest.offer(machineWeights.distance(task.profile.factors, factors), task.secondsOnAverageMachine)
        if (nearest.size < MIN_SIMILAR_TASKS) return null
        val speed = speedOf(machine)
        return RunTimePrediction(nearest.runTimesSeconds.map { it / speed }.sorted())
    }

    /** Predicts the run time of a task on [machine] that has already done [doneSeconds] of work; null as above. */
    fun predict(machine: MachineName, factors: TaskFactors, doneSeconds: Double = 0.0): RunTimePrediction? =
        predict(machine, factors, similarTasks(factors.load, doneSeconds))

    /** How fast a machine has proved to be, where 1 is the average. */
    fun speedOf(machine: MachineName): Double = speeds.of(machine)

    /** The predicted average run time of a task that is not placed yet; null where too few similar tasks have finished. */
    fun expectedRunSeconds(job: JobId, load: String, request: Resources): Double? =
        predict(ANY_MACHINE, TaskFactors(job, load, type = "", request, tasksOnMachine = 0))?.averageSeconds

    /** The average run time of the job's finished tasks, or of its load's where too few have finished; null where those are too few. */
    fun averageRunSeconds(job: JobId, load: String): Double? = averages.ofJob(job) ?: averages.ofLoad(load)

    /** Drops the fitted weights of a machine that is gone. Its tasks' profiles still count. */
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
