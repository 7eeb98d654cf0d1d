package copperglade.prediction

import copperglade.protocol.JobId

/** The average run times of profiled tasks by job and by workload class, kept as running sums. */
internal class RunTimeAverages {
    private class RunTimeSum {
        var count = 0
            private set
        private var sumSeconds = 0.0

        /** Null where fewer than [MIN_TASKS] tasks have finished. */
        val averageSeconds: Double? get() = if (count >= MIN_TASKS) sumSeconds / count else null

        fun add(runSeconds: Double) {
            count++
            sumSeconds += runSeconds
        }

        fun remove(runSeconds: Double) {
            count--
            sumSeconds -= runSeconds
        }
    }

    private val byJob = HashMap<JobId, RunTimeSum>()
    private val byWorkloadClass = HashMap<String, RunTimeSum>()

    fun add(profile: TaskProfile) {
        byWorkloadClass.getOrPut(profile.factors.workloadClass) { RunTimeSum() }.add(profile.runSeconds)
        byJob.getOrPut(profile.factors.job) { RunTimeSum() }.add(profile.runSeconds)
    }

    /** Removes a [profile] that was added before. */
    fun remove(profile: TaskProfile) {
        byWorkloadClass[profile.factors.workloadClass]?.remove(profile.runSeconds)
        val ofJob = byJob[profile.factors.job] ?: return
        ofJob.remove(profile.runSeconds)
        if (ofJob.count == 0) byJob.remove(profile.factors.job)
    }

    /** Returns null where too few of the job's tasks have finished. */
    fun ofJob(job: JobId): Double? = byJob[job]?.averageSeconds

    /** Returns null where too few tasks of the workload class have finished. */
    fun ofWorkloadClass(workloadClass: String): Double? = byWorkloadClass[workloadClass]?.averageSeconds

    private companion object {
        const val MIN_TASKS = 3
    }
}
