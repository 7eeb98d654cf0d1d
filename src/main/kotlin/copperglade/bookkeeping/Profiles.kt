package copperglade.bookkeeping

import copperglade.protocol.JobId
import copperglade.protocol.MachineName
import copperglade.protocol.Resources
import kotlin.math.abs
import kotlin.math.max
import kotlin.math.min
import kotlin.math.sqrt

/** What a task's run time is thought to depend on (section 5.2; the factors are those of DESIGN). */
class Factors(
    val job: JobId,
    val load: String,
    val type: String,
    val request: Resources,
    val neighbours: Int,
) {
    /**
     * The distance from [other] along each factor, from 0 to 1. Names either agree or don't; amounts count by their
     * relative difference, so that no unit outweighs another before the weights have been fitted.
     */
    fun apart(other: Factors): DoubleArray = doubleArrayOf(
        if (load == other.load) 0.0 else 1.0,
        if (job == other.job) 0.0 else 1.0,
        if (type == other.type) 0.0 else 1.0,
        relative(request.cpus + request.gpus, other.request.cpus + other.request.gpus),
        relative(request.memoryGb, other.request.memoryGb),
        relative(neighbours.toDouble(), other.neighbours.toDouble()),
    )

    private fun relative(a: Double, b: Double): Double {
        val larger = max(a, b)
        return if (larger <= 0.0) 0.0 else abs(a - b) / larger
    }

    companion object {
        const val COUNT = 6

        /** The recurring name and the job itself say most; the fit moves on from here. */
        val FIRST_WEIGHTS = doubleArrayOf(0.4, 0.2, 0.1, 0.1, 0.1, 0.1)
    }
}

/** A finished task. */
class Profile(val machine: MachineName, val factors: Factors, val runS: Double)

/** A predicted run time: always a range, the sorted run times of similar past tasks. */
class Prediction(val timesS: List<Double>) {
    val best: Double get() = timesS.first()
    val worst: Double get() = timesS.last()
    val average: Double get() = timesS.average()
}

/** The weights of one machine, fitted to how alike its tasks' run times really were (section 5.3). */
class Weights(private val rate: Double) {
    val values: DoubleArray = Factors.FIRST_WEIGHTS.copyOf()

    /** Formula (1). */
    fun distance(a: Factors, b: Factors): Double {
        val apart = a.apart(b)
        var sum = 0.0
        for (k in apart.indices) sum += values[k] * apart[k] * apart[k]
        return sqrt(sum)
    }

    /**
     * One gradient step on objective (2) for the pair of [task] and [other]. With L and M eliminated through
     * constraint (3), the pair's part of the objective is (sum of S·W − R)², where S is how alike the two are along
     * a factor.
     */
    fun step(task: Profile, other: Profile) {
        val apart = task.factors.apart(other.factors)
        var calculated = 0.0
        for (k in apart.indices) calculated += (1.0 - apart[k]) * values[k]
        val error = calculated - realLikeness(task.runS, Prediction(listOf(other.runS)))
        for (k in apart.indices) values[k] = max(0.0, values[k] - rate * 2.0 * error * (1.0 - apart[k]))
    }

    companion object {
        /** Formula (4): how alike a real run time is to a predicted range. */
        fun realLikeness(runS: Double, predicted: Prediction): Double {
            val gap = min(abs(runS - predicted.worst), abs(predicted.best - runS))
            return 1.0 - gap / max(max(runS, predicted.average), TINY)
        }

        private const val TINY = 1e-9
    }
}

/**
 * The profiles of tasks that finished while this controller watched, and the predictions drawn from them. Nothing is
 * kept across a crash: a new controller predicts nothing until tasks have finished under it.
 */
class ProfileBook(
    private val nearest: Int,
    private val steps: Int,
    private val rate: Double,
    private val capacity: Int,
) {
    private val profiles = ArrayDeque<Profile>()
    private val weights = HashMap<MachineName, Weights>()
    private var speeds: Map<MachineName, Double>? = null

    val size: Int get() = profiles.size

    fun record(profile: Profile) {
        val fitted = weights.getOrPut(profile.machine) { Weights(rate) }
        profiles
            .asReversed()
            .asSequence()
            .filter {
                it.machine == profile.machine
            }.take(steps)
            .forEach { fitted.step(profile, it) }
        profiles.addLast(profile)
        if (profiles.size > capacity) profiles.removeFirst()
        speeds = null
    }

    /**
     * The run times of the nearest past tasks of the same load, for a task that would run on [machine].
     *
     * @param doneS what the task is known to have needed already, in seconds of an average machine. Past tasks that
     * took less are not like it: without this, a task that is merely long looks as if it could be over sooner by
     * starting again, and on the bench 240 of 241 restarts ran longer than what they had thrown away.
     */
    fun predict(machine: MachineName, factors: Factors, doneS: Double = 0.0): Prediction? {
        val fitted = weights[machine] ?: UNFITTED
        val times = profiles
            .asSequence()
            .filter { it.factors.load == factors.load }
            .map { Near(fitted.distance(it.factors, factors), it.runS * speedOf(it.machine)) }
            .filter { it.averageMachineS > doneS }
            .sortedBy { it.distance }
            .take(nearest)
            .map { it.averageMachineS / speedOf(machine) }
            .sorted()
            .toList()
        return if (times.size < FEWEST) null else Prediction(times)
    }

    private class Near(val distance: Double, val averageMachineS: Double)

    /** How fast a machine has proved to be, 1 for the average: the paper assumes that machines keep their speed. */
    fun speedOf(machine: MachineName): Double = (speeds ?: measureSpeeds().also { speeds = it })[machine] ?: 1.0

    /** The median over a machine's tasks of how long their jobs' tasks took on average against how long they took. */
    private fun measureSpeeds(): Map<MachineName, Double> {
        val averages = profiles
            .groupBy { it.factors.job }
            .filterValues { it.size >= FEWEST }
            .mapValues { (_, tasks) -> tasks.sumOf { it.runS } / tasks.size }
        return profiles
            .groupBy { it.machine }
            .mapNotNull { (machine, tasks) ->
                val ratios = tasks
                    .mapNotNull { task ->
                        averages[task.factors.job]?.let {
                            it /
                                task.runS.coerceAtLeast(SHORTEST_S)
                        }
                    }.sorted()
                if (ratios.size < ENOUGH_FOR_SPEED) null else machine to ratios[ratios.size / 2]
            }.toMap()
    }

    /** The average run time of the job's finished tasks, or of its load's where too few have finished. */
    fun averageRunS(job: JobId, load: String): Double? {
        val own = profiles.filter { it.factors.job == job }
        val base = if (own.size >= FEWEST) own else profiles.filter { it.factors.load == load }
        return if (base.size < FEWEST) null else base.sumOf { it.runS } / base.size
    }

    fun forgetMachine(machine: MachineName) {
        weights.remove(machine)
    }

    private companion object {
        const val FEWEST = 3
        const val ENOUGH_FOR_SPEED = 8
        const val SHORTEST_S = 0.1
        val UNFITTED = Weights(0.0)
    }
}
