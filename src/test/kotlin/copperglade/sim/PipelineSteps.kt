package copperglade.sim

import org.junit.jupiter.api.Assertions.assertEquals

// Steps shared by the tests of job pipelines.

/** Pipelines. [levels] lists the jobs of each level, and [dependencies] the direct dependencies of each job that has any. */
enum class PipelineShape(val levels: List<List<Int>>, val dependencies: Map<Int, List<Int>>) {
    CHAIN(listOf(listOf(1), listOf(2), listOf(3), listOf(4)), mapOf(2 to listOf(1), 3 to listOf(2), 4 to listOf(3))),
    DIAMOND(listOf(listOf(1), listOf(2, 3), listOf(4)), mapOf(2 to listOf(1), 3 to listOf(1), 4 to listOf(2, 3))),
    FAN(listOf(listOf(1), (2..13).toList(), listOf(14)), (2..13).associateWith { listOf(1) } + (14 to (2..13).toList())),
    ;

    val jobs: List<Int> get() = levels.flatten()

    /** Returns all direct and indirect dependents of [job]. */
    fun dependentsOf(job: Int): Set<Int> =
        dependencies.filterValues { job in it }.keys.let { direct -> direct + direct.flatMap { dependentsOf(it) } }
}

internal fun SimSite.user(number: Int) = users.getValue(id(number))

internal fun SimSite.submitAll(shape: PipelineShape, workSeconds: Double, tasks: Int = 2) = shape.jobs.forEach { number ->
    submit(
        SimSite.job(number, tasks = tasks, estimatedSeconds = workSeconds),
        shape.dependencies[number].orEmpty().map(::id),
    ) { workSeconds }
}

internal fun SimSite.isRunning(number: Int) = runningTasks().keys.any { it.job == id(number) }

internal fun SimSite.awaitRunning(number: Int) = await(150.0) { isRunning(number) }

/** Cancels a job that is not done, and lets time pass until the cancellation is confirmed to its user. */
internal fun SimSite.cancelAndConfirm(number: Int, timeoutSeconds: Double = 5.0) {
    cancel(id(number))
    await(timeoutSeconds) { user(number).cancelledAtMillis != null }
}

internal fun SimSite.assertStatus(status: String, jobs: Collection<Int>) =
    assertEquals(jobs.associateWith { status }, jobs.associateWith { user(it).status })

internal fun SimSite.assertNeverStarted(jobs: Collection<Int>) =
    assertEquals(emptyList<Int>(), jobs.filter { user(it).firstStartAtMillis != null }, "jobs that started")

/** Asserts that [cancelled] and its dependents ended cancelled, and that all other jobs of the pipeline are done. */
internal fun SimSite.assertCancelledFrom(shape: PipelineShape, cancelled: Int) {
    val dependents = shape.dependentsOf(cancelled)
    assertStatus("aborted", dependents + cancelled)
    assertNeverStarted(dependents)
    assertStatus("done", shape.jobs - dependents - cancelled)
}
