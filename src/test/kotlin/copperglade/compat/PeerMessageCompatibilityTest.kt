package copperglade.compat

import copperglade.protocol.ImageName
import copperglade.protocol.Incarnation
import copperglade.protocol.JobId
import copperglade.protocol.MemberId
import copperglade.protocol.PeerMessageCodec
import copperglade.protocol.PeerStatus
import copperglade.protocol.Resources
import copperglade.protocol.Revision
import org.junit.jupiter.api.Assertions.assertArrayEquals
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.io.ByteArrayOutputStream
import java.io.DataOutputStream

/**
 * The version in production and this one run side by side: each must read what the other has written, and write what the
 * other can read. Here: the messages between controllers. The samples are what production wrote; the expectations are literals, so that a
 * rename shows.
 */
class PeerMessageCompatibilityTest {
    // ---- messages between controllers ----

    @Test
    fun `every peer status is written again with the same bytes`() {
        val statuses = ProductionFiles.messages.filterKeys { it.startsWith("note ") }
        assertEquals(STATUS_KINDS, statuses.size, "${statuses.keys}")
        statuses.forEach { (kind, bytes) ->
            assertArrayEquals(bytes, PeerMessageCodec.encodeStatus(PeerMessageCodec.decodeStatus(bytes)!!), kind)
        }
    }

    @Test
    fun `a full status`() {
        val status = peerStatus("note full machines to replace images yielding")
        assertEquals(MemberId("lorry-2"), status.member)
        assertEquals(Incarnation(2), status.incarnation)
        assertEquals(Revision(51), status.knownRevision)
        assertEquals(458, status.stateServiceAnswerAgeMillis)
        assertFalse(status.isLeader)
        assertEquals(0.10845220000923077, status.desiredWritesPerSecond)
        assertEquals(listOf("north.1 6 1", "south.2 7 0"), status.shards.map { "${it.shard} ${it.fencingToken} ${it.machines.size}" })
        with(
            status.shards
                .first()
                .machines
                .single(),
        ) {
            assertEquals(listOf("i-000001", "box", "north"), listOf(name.text, type, zone))
            assertEquals(listOf(false, false, false), listOf(spot, usable, worthKeeping))
            assertEquals(0, idleMillis)
            assertEquals(Resources(4.0, 0.0, 122.0), free)
            assertEquals(listOf(Resources.ZERO, Resources.ZERO, Resources(12.0, 0.0, 6.0), Resources.ZERO), preemptible)
            assertEquals(listOf("img-2", "img-1"), images.map { it.text })
        }
    }

    @Test
    fun `an idle machine on loan`() {
        val machine = peerStatus("note full machines usable").shards.flatMap { it.machines }.single()
        assertEquals(listOf(true, true, true), listOf(machine.spot, machine.usable, machine.worthKeeping))
        assertEquals(142, machine.idleMillis)
    }

    @Test
    fun `brief statuses, and what the leader adds`() {
        val brief = peerStatus("note brief")
        assertEquals(listOf("lorry-2", "2", "5"), listOf(brief.member.text, brief.incarnation.toString(), brief.knownRevision.toString()))
        assertEquals(emptyList<Any>(), brief.shards)
        assertFalse(brief.isLeader)
        assertTrue(peerStatus("note brief lead").isLeader)
        assertEquals(listOf("south.1"), peerStatus("note brief lead release").shardsToRelease.map { it.text })
        assertEquals(listOf("i-000006"), peerStatus("note brief lead retire").machinesToRetire.map { it.text })
    }

    private fun peerStatus(kind: String): PeerStatus = PeerMessageCodec.decodeStatus(ProductionFiles.message(kind))!!

    @Test
    fun `a request for an endorsement and the notice of a cancellation`() {
        assertEquals("lorry-2", ProductionFiles.message("vouch").decodeToString())
        val bytes = ProductionFiles.message("cancelled")
        val cancellation = PeerMessageCodec.decodeCancellations(bytes)!!.single()
        assertEquals(JobId("job-605") to Revision(37), cancellation.job to cancellation.revision)
        assertArrayEquals(bytes, PeerMessageCodec.encodeCancellations(listOf(cancellation)))
    }

    /** Written field by field in the order of the wire, with values that occur nowhere else in it. */
    @Test
    fun `each field of a peer status has its own place`() {
        val bytes = ByteArrayOutputStream()
        with(DataOutputStream(bytes)) {
            writeByte(2)
            text("m")
            listOf(3L, 9L, 12L).forEach(::writeLong)
            writeBoolean(true)
            writeTexts("a", "z", "img-1")
            writeInt(1)
            text("z.0")
            writeLong(4)
            writeInt(1)
            text("i-1")
            listOf(0, 1).forEach(::writeInt)
            listOf(false, true, false).forEach(::writeBoolean)
            writeLong(5)
            listOf(1.0, 2.0, 3.0).forEach(::writeDouble)
            writeInt(1)
            writeBoolean(true)
            listOf(6.0, 7.0, 8.0).forEach(::writeDouble)
            listOf(1, 2).forEach(::writeInt)
            writeTexts("z.1")
            writeTexts("i-2")
            writeDouble(12.5)
        }
        val status = PeerMessageCodec.decodeStatus(bytes.toByteArray())!!
        assertArrayEquals(bytes.toByteArray(), PeerMessageCodec.encodeStatus(status))
        assertEquals(
            listOf(3L, 9L, 12L),
            listOf(status.incarnation.number, status.knownRevision.number, status.stateServiceAnswerAgeMillis),
        )
        assertEquals(listOf("z.1"), status.shardsToRelease.map { it.text })
        assertEquals(listOf("i-2"), status.machinesToRetire.map { it.text })
        assertEquals(12.5, status.desiredWritesPerSecond)
        val machine = status.shards
            .single()
            .machines
            .single()
        assertEquals(listOf("i-1", "a", "z"), listOf(machine.name.text, machine.type, machine.zone))
        assertEquals(listOf(false, true, false), listOf(machine.spot, machine.usable, machine.worthKeeping))
        assertEquals(5, machine.idleMillis)
        assertEquals(Resources(1.0, 2.0, 3.0), machine.free)
        assertEquals(listOf(Resources(6.0, 7.0, 8.0)), machine.preemptible)
        assertEquals(listOf(ImageName("img-1")), machine.images)
    }

    private fun DataOutputStream.text(value: String) {
        writeInt(value.length)
        writeBytes(value)
    }

    private fun DataOutputStream.writeTexts(vararg values: String) {
        writeInt(values.size)
        values.forEach { text(it) }
    }

    private companion object {
        const val STATUS_KINDS = 10
    }
}
