package copperglade.prediction

/** The [capacity] tasks of least distance among those offered, in ascending order. */
internal class NearestTasks(private val capacity: Int) {
    private val distances = DoubleArray(capacity)
    private val runSeconds = DoubleArray(capacity)
    var size = 0
        private set

    /** The run times of the nearest tasks, nearest first. */
    val runTimesSeconds: List<Double> get() = runSeconds.take(size)

    /**
     * Inserts the task in order of distance if it is among the nearest. Sorting all offered tasks would take much longer than
     * keeping the few nearest.
     */
    fun offer(distance: Double, taskRunSeconds: Double) {
        if (size == capacity && distance >= distances[size - 1]) return
        var index = if (size < capacity) size++ else size - 1
        while (index > 0 && distances[index - 1] > distance) {
            distances[index] = distances[index - 1]
            runSeconds[index] = runSeconds[index - 1]
            index--
        }
        distances[index] = distance
        runSeconds[index] = taskRunSeconds
    }
}
