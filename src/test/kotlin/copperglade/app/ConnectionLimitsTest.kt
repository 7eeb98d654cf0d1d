package copperglade.app

import copperglade.settings.InvalidSettingException
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class ConnectionLimitsTest {
    @Test
    fun `a limit that leaves no connection for the other controllers is refused by name`() {
        val problem = assertThrows(InvalidSettingException::class.java) { ConnectionLimits.of(fileDescriptorLimit = 99, peerCount = 4) }
        assertTrue(problem.message!!.startsWith("deployment.resources.fd_limit:"))
    }

    @Test
    fun `the shares grow with the limit and leave some for everything else`() {
        val limits = ConnectionLimits.of(fileDescriptorLimit = 12_000, peerCount = 4)
        assertEquals(listOf(6240, 480, 4080), listOf(limits.inboundClients, limits.inboundPeers, limits.outboundWorkers))
    }
}
