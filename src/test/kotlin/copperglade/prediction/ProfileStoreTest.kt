package copperglade.prediction

import copperglade.protocol.JobId
import copperglade.protocol.MachineName
import copperglade.protocol.Resources
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class ProfileStoreTest {
    private val factors = TaskFactors(JobId("job-1"), "render", "box", Resources(2.0, 0.0, 8.0), 3)

    private fun profileStore(times: Map<String, List<Double>>): ProfileStore {
        val profileStore = ProfileStore(nearestTasks = 8, fittingSteps = 2, fittingRate = 0.02, capacity = 100)
        for ((machine, runs) in times) runs.forEach { profileStore.record(TaskProfile(MachineName(machine), factors, it)) }
        return profileStore
    }

    @Test
    fun `an empty store predicts nothing, and a prediction is a range of run times`() {
        assertNull(profileStore(emptyMap()).predict(MachineName("i-1"), factors))
        val prediction = profileStore(mapOf("i-1" to listOf(10.0, 12.0, 14.0))).predict(MachineName("i-1"), factors)
        assertNotNull(prediction)
        assertEquals(10.0, prediction!!.bestSeconds)
        assertEquals(14.0, prediction.worstSeconds)
    }

    @Test
    fun `a task that has run for long is predicted from longer tasks only`() {
        val profileStore = profileStore(mapOf("i-1" to listOf(5.0, 6.0, 7.0, 8.0, 30.0, 31.0, 32.0)))
        val prediction = profileStore.predict(MachineName("i-2"), factors, doneSeconds = 20.0)
        assertEquals(listOf(30.0, 31.0, 32.0), prediction?.runSeconds)
    }

    @Test
    fun `the speed of a machine is measured by its finished tasks`() {
        val profileStore = profileStore(mapOf("fast" to List(20) { 10.0 }, "slow" to List(8) { 40.0 }))
        assertTrue(profileStore.speedOf(MachineName("slow")) < 0.5)
        assertTrue(profileStore.speedOf(MachineName("fast")) > 1.0)
    }
}
