package copperglade.prediction

import copperglade.protocol.JobId
import copperglade.protocol.MachineName
import copperglade.protocol.Resources
import kotlin.math.abs
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.max
import kotlin.math.min
import kotlin.math.sign
import kotlin.math.sqrt

/** What a task's run time is thought to depend on (section 5.2; the factors are those of DESIGN). */
class TaskFactors(
    val job: JobId,
    val load: String,
    val type: String,
    val request: Resources,
    val neighbours: Int,
) {
    /**
     * The distance from [other] along factor [k], from 0 to 1. Names either agree or don't; amounts count by their
     * relative difference, so that no unit outweighs another before the weights have been fitted.
     */
    fun apart(other: TaskFactors, k: Int): Double = when (k) {
        0 -> if (load == other.load) 0.0 else 1.0
        1 -> if (job == other.job) 0.0 else 1.0
        2 -> if (type == other.type) 0.0 else 1.0
        3 -> relative(request.cpus + request.gpus, other.request.cpus + other.request.gpus)
        4 -> relative(request.memoryGb, other.request.memoryGb)
        else -> relative(neighbours.toDouble(), other.neighbours.toDouble())
    }

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
class TaskProfile(val machine: MachineName, val factors: TaskFactors, val runS: Double)

/** A predicted run time: always a range, the sorted run times of similar past tasks. */
class Prediction(val timesS: List<Double>) {
    val best: Double get() = timesS.first()
    val worst: Double get() = timesS.last()
    val average: Double get() = timesS.average()
}

/** The weights of one machine, fitted to how alike its tasks' run times really were (section 5.3). */
class Weights(private val rate: Double) {
    val values: DoubleArray = TaskFactors.FIRST_WEIGHTS.copyOf()

    /** Formula (1). */
    fun distance(a: TaskFactors, b: TaskFactors): Double {
        var sum = 0.0
        for (k in 0 until TaskFactors.COUNT) {
            val apart = a.apart(b, k)
            sum += values[k] * apart * apart
        }
        return sqrt(sum)
    }

    /**
     * One gradient step on objective (2) for the pair of [task] and [other]. With L and M eliminated through
     * constraint (3), the pair's part of the objective is (sum of S·W − R)², where S is how alike the two are along
     * a factor.
     */
    fun step(task: TaskProfile, other: TaskProfile) {
        val apart = DoubleArray(TaskFactors.COUNT) { task.factors.apart(other.factors, it) }
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
class ProfileStore(
    private val nearest: Int,
    private val steps: Int,
    private val rate: Double,
    private val capacity: Int,
) {
    private val profiles = ArrayDeque<TaskProfile>()
    private val weights = HashMap<MachineName, Weights>()

    /** A machine's latest tasks, newest first: as many as a fit looks at. */
    private val latestOf = HashMap<MachineName, ArrayDeque<TaskProfile>>()
    private val ofJob = HashMap<JobId, SequenceNumber>()
    private val ofLoad = HashMap<String, SequenceNumber>()
    private var speeds: Map<MachineName, Double> = emptyMap()
    private var sinceMeasured = 0

    /** Run times summed up as they come and go: averages are asked for far more often than tasks finish. */
    private class SequenceNumber {
        var count = 0
        var sumS = 0.0

        fun add(runS: Double, sign: Int) {
            count += sign
            sumS += sign * runS
        }
    }

    val size: Int get() = profiles.size

    fun record(profile: TaskProfile) {
        val fitted = weights.getOrPut(profile.machine) { Weights(rate) }
        val latest = latestOf.getOrPut(profile.machine) { ArrayDeque() }
        latest.forEach { fitted.step(profile, it) }
        latest.addFirst(profile)
        if (latest.size > steps) latest.removeLast()
        profiles.addLast(profile)
        count(profile, 1)
        if (profiles.size > capacity) count(profiles.removeFirst(), -1)
        sinceMeasured++
    }

    private fun count(profile: TaskProfile, sign: Int) {
        ofLoad.getOrPut(profile.factors.load) { SequenceNumber() }.add(profile.runS, sign)
        val job = ofJob.getOrPut(profile.factors.job) { SequenceNumber() }
        job.add(profile.runS, sign)
        if (job.count == 0) ofJob.remove(profile.factors.job)
    }

    /** A past task, and how long it would have taken on an average machine. */
    class Past(val profile: TaskProfile, val averageMachineS: Double)

    /**
     * The past tasks of [load] that a task is like of which [doneS] seconds of an average machine are known to be done.
     * Past tasks that took less are not like it: without this, a task that is merely long looks as if it could be over
     * sooner by starting again, and on the bench 240 of 241 restarts ran longer than what they had thrown away.
     */
    fun similar(load: String, doneS: Double = 0.0): List<Past> = profiles.mapNotNull { profile ->
        if (profile.factors.load != load) return@mapNotNull null
        val past = Past(profile, profile.runS * speedOf(profile.machine))
        past.takeIf { it.averageMachineS > doneS }
    }

    /** The run times of the nearest of [past], for a task that would run on [machine]. */
    fun predict(machine: MachineName, factors: TaskFactors, past: List<Past>): Prediction? {
        val fitted = weights[machine] ?: UNFITTED
        val distances = DoubleArray(nearest)
        val times = DoubleArray(nearest)
        var found = 0
        // The few nearest are kept in order: sorting all of them for every option cost more than weighing the options.
        for (one in past) {
            val distance = fitted.distance(one.profile.factors, factors)
            if (found == nearest && distance >= distances[found - 1]) continue
            var place = if (found < nearest) found++ else found - 1
            while (place > 0 && distances[place - 1] > distance) {
                distances[place] = distances[place - 1]
                times[place] = times[place - 1]
                place--
            }
            distances[place] = distance
            times[place] = one.averageMachineS
        }
        if (found < MIN) return null
        val speed = speedOf(machine)
        return Prediction(times.take(found).map { it / speed }.sorted())
    }

    fun predict(machine: MachineName, factors: TaskFactors, doneS: Double = 0.0): Prediction? =
        predict(machine, factors, similar(factors.load, doneS))

    /** How fast a machine has proved to be, 1 for the average: the paper assumes that machines keep their speed. */
    fun speedOf(machine: MachineName): Double {
        // They hardly change with one task more.
        if (sinceMeasured >= MEASURED_EVERY) {
            sinceMeasured = 0
            speeds = measureSpeeds()
        }
        return speeds[machine] ?: 1.0
    }

    /**
     * The median over a machine's tasks of how long their jobs' tasks took on average against how long they took, as far
     * as it can't be chance. Tasks of a job differ by more than most machines do: taken at its word, the median of a few
     * made slow machines of ordinary ones, and on a grown day 220 of 222 restarts ran longer than what they had thrown
     * away (simulated machines).
     */
    private fun measureSpeeds(): Map<MachineName, Double> {
        val found = HashMap<MachineName, Double>()
        for ((machine, tasks) in profiles.groupBy { it.machine }) {
            val logs = tasks
                .mapNotNull { task ->
                    ofJob[task.factors.job]
                        ?.takeIf { it.count >= MIN }
                        ?.let { ln(it.sumS / it.count / task.runS.coerceAtLeast(MIN_S)) }
                }.sorted()
            if (logs.size < ENOUGH_FOR_SPEED) continue
            val median = logs[logs.size / 2]
            val spread = logs.sumOf { abs(it - median) } / logs.size
            val chance = CHANCES * spread / sqrt(logs.size.toDouble())
            if (abs(median) > chance) found[machine] = exp(median - chance * sign(median))
        }
        return found
    }

    /**
     * How long a task is predicted to run wherever it will be placed, in seconds: the average of the range that the
     * nearest past tasks give on a machine without a fit of its own; null where too few are known.
     */
    fun expectedRunSeconds(job: JobId, load: String, request: Resources): Double? =
        predict(ANY_MACHINE, TaskFactors(job, load, type = "", request, neighbours = 0))?.average

    /** The average run time of the job's finished tasks, or of its load's where too few have finished. */
    fun averageRunSeconds(job: JobId, load: String): Double? {
        val base = ofJob[job]?.takeIf { it.count >= MIN } ?: ofLoad[load]?.takeIf { it.count >= MIN }
        return base?.let { it.sumS / it.count }
    }

    fun forgetMachine(machine: MachineName) {
        weights.remove(machine)
        latestOf.remove(machine)
    }

    private companion object {
        const val MIN = 3
        const val MEASURED_EVERY = 10
        const val ENOUGH_FOR_SPEED = 8

        /** So many times its likely error a median must be off before it counts, and as far as that it doesn't. */
        const val CHANCES = 2.5
        const val MIN_S = 0.1
        val UNFITTED = Weights(0.0)
        val ANY_MACHINE = MachineName("")
    }
}
