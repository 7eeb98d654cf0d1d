package copperglade.sim

import copperglade.protocol.JobId
import copperglade.transport.Method
import copperglade.transport.Reply
import copperglade.transport.Request
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * The state service returns all changes since a revision in one answer, however large. A controller that was partitioned while a large
 * fleet kept changing can't receive such an answer, and has to recover by reloading the records in pages.
 */
class CatchUpTest {
    private fun SimSite.partitionUntilAnswersTooLarge(node: Int) {
        repeat(30) { number -> sim.after(number * 1_500.0) { submit(SimSite.job(number, tasks = 6, estimatedSeconds = 10.0)) { 10.0 } } }
        run(15.0)
        cutController(node)
        run(35.0)
        var rejectedAnswers = 0
        network.tamperAnswer = { passage, request, reply ->
            val tooLarge = passage.to == "lorry-$node" && request.path.startsWith("/changes") && reply.body.size > MAX_ANSWER_BYTES
            if (tooLarge) rejectedAnswers++
            if (tooLarge) Reply(GATEWAY_TIMEOUT) else reply
        }
        heal()
        run(20.0)
        assertTrue(rejectedAnswers > 0, "no answer exceeded the size limit")
    }

    @Test
    fun `a controller that can't apply the changes it missed reloads all records`() {
        val site = SimSite(Simulation(81))
        site.partitionUntilAnswersTooLarge(node = 1)
        var okAnswers = 0
        site.requestAt(1, Request(Method.GET, "/submissions/${JobId("job-1")}")) { if (it?.status == 200) okAnswers++ }
        site.run(5.0)
        assertTrue(okAnswers > 0, "controller 1 answered no poll after the partition")
        site.assertRulesHold()
    }

    private companion object {
        const val MAX_ANSWER_BYTES = 8_000
        const val GATEWAY_TIMEOUT = 504
    }
}
