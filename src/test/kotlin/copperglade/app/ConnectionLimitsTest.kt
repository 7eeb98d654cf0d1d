package copperglade.app

import copperglade.settings.InvalidSettingException
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class ConnectionLimitsTest {
    @Test
    fun `a file descriptor limit that leaves no connection for each peer is refused with the setting in the message`() {
        val exception = assertThrows(InvalidSettingException::class.java) { ConnectionLimits.of(fileDescriptorLimit = 99, peerCount = 4) }
        assertTrue(exception.message!!.startsWith("deployment.resources.fd_limit:"))
    }

    @Test
    fun `the limits are shares of the file descriptor limit and leave a remainder`() {
        val limits = ConnectionLimits.of(fileDescriptorLimit = 12_000, peerCount = 4)
        assertEquals(listOf(6240, 480, 4080), listOf(limits.inboundClients, limits.inboundPeers, limits.outboundWorkers))
    }
}
