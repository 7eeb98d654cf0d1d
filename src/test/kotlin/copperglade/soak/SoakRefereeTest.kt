package copperglade.soak

import copperglade.protocol.JobId
import copperglade.protocol.TaskId
import copperglade.settings.InvalidSettingException
import copperglade.sim.SimSite
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Each rule that the soak judges by, broken once: the referee sees it, and nothing else. */
class SoakRefereeTest {
    private var nowMs = 1_000L
    private val referee = SoakReferee({ nowMs }, CANCEL_MS, cpusMax = 10.0)
    private val first = place("i-1")
    private val second = place("i-2")

    private fun place(machine: String, zone: String = "north") = SoakReferee.Place(machine, "box", zone, spot = false, incarnation = Any())

    private fun submit(number: Int, dependencies: List<Int> = emptyList(), tasks: Int = 1, zone: String? = null): JobId {
        val spec = SimSite.job(number, tasks = tasks, zone = zone)
        referee.jobs[spec.id] = SoakReferee.SeenJob(spec, dependencies.map { JobId("job-$it") })
        referee.accepted(spec.id)
        return spec.id
    }

    private fun tell(job: JobId, status: String) = referee.recordStatus(job, status, nowMs)

    private fun cancel(job: JobId) {
        referee.jobs.getValue(job).cancelRequested = true
        tell(job, "aborted")
    }

    private fun assertSeen(vararg rules: String) = assertEquals(rules.toList(), referee.breaches.map { it.rule })

    @Test
    fun `a pipeline without faults breaks no rule`() {
        val before = submit(1)
        val after = submit(2, dependencies = listOf(1))
        for (job in listOf(before, after)) {
            referee.started(TaskId(job, 0), first)
            tell(job, "running")
            referee.ended(TaskId(job, 0), first, done = true)
            tell(job, "done")
        }
        nowMs += CANCEL_MS * 2
        referee.check()
        referee.checkEnd(faultFreeSinceMs = 0)
        assertSeen()
        assertEquals(2, referee.starts)
    }

    @Test
    fun `a task on two machines`() {
        val job = submit(1)
        referee.started(TaskId(job, 0), first)
        referee.started(TaskId(job, 0), second)
        assertSeen("ran_twice")
    }

    @Test
    fun `a task that goes on after the cancellation`() {
        val job = submit(1)
        referee.started(TaskId(job, 0), first)
        cancel(job)
        nowMs += CANCEL_MS
        referee.check()
        assertSeen()
        nowMs++
        referee.check()
        assertTrue(referee.breaches.any { it.rule == "ran_cancelled" })
    }

    @Test
    fun `a task that starts long after the cancellation of its dependency`() {
        val before = submit(1)
        val after = submit(2, dependencies = listOf(1))
        referee.started(TaskId(before, 0), first)
        referee.ended(TaskId(before, 0), first, done = true)
        cancel(before)
        nowMs += CANCEL_MS + 1
        referee.started(TaskId(after, 0), first)
        assertSeen("ran_cancelled")
    }

    @Test
    fun `a task that starts before its dependency is done`() {
        submit(1)
        submit(2, dependencies = listOf(1))
        val last = submit(3, dependencies = listOf(2))
        referee.started(TaskId(last, 0), first)
        assertSeen("too_early")
    }

    @Test
    fun `a job that is not reported cancelled with its dependency`() {
        val before = submit(1)
        val after = submit(2, dependencies = listOf(1))
        cancel(before)
        tell(after, "queued")
        assertSeen()
        nowMs += CANCEL_MS + 1
        tell(after, "queued")
        assertSeen("orphaned")
    }

    @Test
    fun `a task of a job that is over for its user`() {
        val job = submit(1, tasks = 1)
        referee.started(TaskId(job, 0), first)
        referee.ended(TaskId(job, 0), first, done = true)
        tell(job, "done")
        referee.started(TaskId(job, 0), second)
        nowMs += CANCEL_MS + 1
        referee.check()
        assertSeen("orphaned")
    }

    @Test
    fun `a job that was done and then is not, or is cancelled by nobody`() {
        val job = submit(1)
        referee.started(TaskId(job, 0), first)
        referee.ended(TaskId(job, 0), first, done = true)
        tell(job, "done")
        tell(job, "queued")
        tell(submit(2), "aborted")
        assertSeen("went_back", "went_back")
    }

    @Test
    fun `an older answer to an older question is none`() {
        val job = submit(1)
        val askedAt = nowMs
        nowMs += 10
        cancel(job)
        referee.recordStatus(job, "queued", askedAt)
        assertSeen()
    }

    @Test
    fun `a job that is reported done too soon`() {
        tell(submit(1, tasks = 2), "done")
        assertSeen("not_done")
    }

    @Test
    fun `more than the team's limit`() {
        val job = submit(1, tasks = 6)
        repeat(6) { referee.started(TaskId(job, it), first) }
        assertSeen("quota")
    }

    @Test
    fun `a task in a zone that its job does not allow`() {
        referee.started(TaskId(submit(1, zone = "south"), 0), first)
        assertSeen("wrong_place")
    }

    @Test
    fun `a job that is unknown, unanswered or never served`() {
        val job = submit(1)
        referee.refused(job, 404)
        nowMs += 10
        referee.checkEnd(faultFreeSinceMs = nowMs)
        assertSeen("forgotten", "forgotten", "left_waiting")
    }

    @Test
    fun `a job that nobody submitted, and one that can't be accepted`() {
        referee.started(TaskId(JobId("job-9"), 0), first)
        referee.acceptedBad("job-8")
        assertSeen("invented", "accepted_bad")
    }

    @Test
    fun `options are checked`() {
        val options = SoakOptions.parse(listOf("seed=7", "runs=3", "workers=300", "nodes=5", "seconds=60", "heap=64", "at-once=2"))
        assertEquals(
            listOf(7, 3, 300, 5, 60, 64, 2).toString(),
            with(options) {
                listOf(firstSeed, runs, workers, nodes, faultPhaseS, heapMb, atOnce).toString()
            },
        )
        for (bad in listOf(
            "seed=x",
            "runs=0",
            "workers=many",
            "nodes=4",
            "nodes=7",
            "seconds=1",
            "heap=1",
            "at-once=99",
            "colour=red",
            "runs",
        )) {
            val problem = assertThrows(InvalidSettingException::class.java) { SoakOptions.parse(listOf(bad)) }
            assertTrue(problem.message!!.startsWith(bad.substringBefore('=')), "$bad: ${problem.message}")
        }
    }

    private companion object {
        const val CANCEL_MS = 16_000L
    }
}
