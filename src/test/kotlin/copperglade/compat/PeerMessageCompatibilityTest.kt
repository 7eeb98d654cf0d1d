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
 * Checks the compatibility of messages between controllers. The version in production and this version run side by side, so each must
 * read what the other writes. The samples were written by the production version; the expected values are literals, so that renaming
 * code doesn't change them.
 */
class PeerMessageCompatibilityTest {
    @Test
    fun `a decoded peer status is encoded to the same bytes`() {
        val statuses = ProductionFiles.messages.filterKeys { it.startsWith("note ") }
        assertEquals(STATUS_KINDS, statuses.size, "${statuses.keys}")
        statuses.forEach { (kind, bytes) ->
            assertArrayEquals(bytes, PeerMessageCodec.encodeStatus(PeerMessageCodec.decodeStatus(bytes)!!), kind)
        }
    }

    @Test
    fun `a full status is decoded with all fields`() {
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
    fun `an idle spot machine is decoded`() {
        val machine = peerStatus("note full machines usable").shards.flatMap { it.machines }.single()
        assertEquals(listOf(true, true, true), listOf(machine.spot, machine.usable, machine.worthKeeping))
        assertEquals(142, machine.idleMillis)
    }

    @Test
    fun `brief statuses and the fields that the leader adds are decoded`() {
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
    fun `an endorsement request and a cancellation notice are decoded`() {
        assertEquals("lorry-2", ProductionFiles.message("vouch").decodeToString())
        val bytes = ProductionFiles.message("cancelled")
        val cancellation = PeerMessageCodec.decodeCancellations(bytes)!!.single()
        assertEquals(JobId("job-605") to Revision(37), cancellation.job to cancellation.revision)
        assertArrayEquals(bytes, PeerMessageCodec.encodeCancellations(listOf(cancellation)))
    }

    /** The status is written field by field in wire order, with values that identify their fields. */
    @Test
    fun `each field of a peer status has its own position`() {
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
