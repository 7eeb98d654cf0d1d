package copperglade.protocol

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test
import java.util.Random

class PeerMessageCodecTest {
    @Test
    fun `encoded cancellations decode to the same cancellations, and corrupted bytes decode to null`() {
        val sent = listOf(Cancellation(JobId("job-7"), Revision(12)), Cancellation(JobId("job-000412"), Revision(1L shl 40)))
        val bytes = PeerMessageCodec.encodeCancellations(sent)
        assertEquals(sent.map { it.job to it.revision }, PeerMessageCodec.decodeCancellations(bytes)!!.map { it.job to it.revision })
        val random = Random(2)
        repeat(2000) {
            val corrupted = bytes.copyOf(random.nextInt(bytes.size))
            if (corrupted.size > 1) corrupted[random.nextInt(corrupted.size)] = random.nextInt(256).toByte()
            assertNull(PeerMessageCodec.decodeCancellations(corrupted))
        }
    }

    @Test
    fun `an encoded peer status decodes to the same status, and a truncated one decodes to null`() {
        val machine = MachineAvailability(
            MachineName("i-1"),
            "a",
            "z",
            spot = true,
            usable = true,
            onTrial = false,
            worthKeeping = true,
            idleMillis = 5,
            free = Resources(1.0, 2.0, 3.0),
            preemptible = listOf(Resources.ZERO, Resources(4.0, 0.0, 1.0)),
            images = listOf(ImageName("img-1")),
        )
        val status = PeerStatus(
            MemberId("m"),
            Incarnation(3),
            Revision(9),
            12,
            isLeader = true,
            listOf(ShardCapacity(ShardName("z.0"), FencingToken(4), listOf(machine))),
            listOf(ShardName("z.1")),
            listOf(MachineName("i-2")),
            desiredWritesPerSecond = 12.5,
        )
        val bytes = PeerMessageCodec.encodeStatus(status)
        val decoded = PeerMessageCodec.decodeStatus(bytes)!!
        assertEquals(status.knownRevision, decoded.knownRevision)
        assertEquals(machine.preemptible, decoded.shards[0].machines[0].preemptible)
        assertEquals(status.machinesToRetire, decoded.machinesToRetire)
        for (length in 0 until bytes.size) assertNull(PeerMessageCodec.decodeStatus(bytes.copyOf(length)))
    }
}
