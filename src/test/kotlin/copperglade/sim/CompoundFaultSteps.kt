package copperglade.sim

import copperglade.protocol.JobId
import copperglade.standin.StandInWorker
import copperglade.storage.Keys
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource

// Steps shared by the tests of compound faults.

internal fun id(number: Int) = JobId("job-$number")

/** Submits [jobs] arrays of long tasks from `job-1` on, all at once. */
internal fun submitLongArrays(site: SimSite, jobs: Int = 8, tasks: Int = 4, workSeconds: Double = 90.0) =
    repeat(jobs) { site.submit(SimSite.job(it + 1, tasks = tasks, cpus = 8.0, estimatedSeconds = workSeconds)) { workSeconds } }

/** A site for sixteen machines, so that every controller owns some of them. */
internal fun siteWithSixteenMachines(seed: Long, teamCpus: Double = 250.0, nodes: Int = 3) =
    SimSite(Simulation(seed), scale = SiteScale(machinesPerZone = 4, teamCpus = teamCpus), nodes = nodes)

internal fun runningOf(site: SimSite, jobs: Collection<JobId>) = site.runningTasks().keys.count { it.job in jobs }

/** Cancels [jobs], asserts that a cancellation is confirmed within [withinSeconds], and returns the jobs with a confirmed cancellation. */
internal fun cancelAndConfirm(site: SimSite, jobs: List<JobId>, withinSeconds: Double): List<JobId> {
    val before = site.confirmedCancellations
    jobs.forEach(site::cancel)
    site.run(withinSeconds)
    assertTrue(site.confirmedCancellations > before, "no cancellation was confirmed")
    return jobs.filter { site.users.getValue(it).cancelledAtMillis != null }
}

/** Returns the jobs that have tasks on machines whose workers report to the controller [node]. */
internal fun jobsOnMachinesOf(site: SimSite, node: Int): List<JobId> = site
    .runningTasks()
    .filterValues { site.ownerOf(it.name) == node }
    .keys
    .map { it.job }
    .distinct()

/** Returns the workers on which tasks of [jobs] run. */
internal fun machinesOf(site: SimSite, jobs: Collection<JobId>): Set<StandInWorker> =
    site
        .runningTasks()
        .filterKeys { it.job in jobs }
        .values
        .toSet()
