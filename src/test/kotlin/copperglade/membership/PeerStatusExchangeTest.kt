package copperglade.membership

import copperglade.protocol.Endpoint
import copperglade.protocol.FencingToken
import copperglade.protocol.Incarnation
import copperglade.protocol.Json
import copperglade.protocol.MachineAvailability
import copperglade.protocol.MachineName
import copperglade.protocol.MemberId
import copperglade.protocol.PeerMessageCodec
import copperglade.protocol.PeerStatus
import copperglade.protocol.Resources
import copperglade.protocol.Revision
import copperglade.protocol.ShardCapacity
import copperglade.protocol.ShardName
import copperglade.sim.SimLoop
import copperglade.sim.SimNetwork
import copperglade.sim.Simulation
import copperglade.standin.ServiceLimits
import copperglade.standin.StandInState
import copperglade.storage.Keys
import copperglade.storage.RecordCodec
import copperglade.storage.StateClient
import copperglade.storage.StateLimits
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * Guards against capacity records that the state service refuses because they exceed its value limit: the status of 40 machines with
 * long names is larger than a value of 2 KB.
 */
class PeerStatusExchangeTest {
    private val sim = Simulation(1)
    private val network = SimNetwork(sim)
    private val loop = SimLoop(sim)
    private val service = StandInState(loop).also { network.listen(STATE, "state", loop, it) }
    private val limits = StateLimits(1e6, 1e6, 2.0, 4)
    private val store = StateClient(loop, network.callerOf("member", loop), STATE, limits)

    private fun machine(number: Int) = MachineAvailability(
        MachineName("i-machine-with-a-long-name-$number"),
        "type-with-a-long-name",
        "zone-with-a-long-name",
        spot = true,
        usable = true,
        onTrial = false,
        worthKeeping = true,
        idleMillis = 5,
        free = Resources(1.0, 2.0, 3.0),
        preemptible = List(4) { Resources(4.0, 0.0, 1.0) },
        images = emptyList(),
    )

    private fun status() = PeerStatus(
        SELF,
        Incarnation(3),
        Revision(9),
        12,
        isLeader = false,
        listOf(ShardCapacity(ShardName("z.0"), FencingToken(4), List(40, ::machine))),
        emptyList(),
        emptyList(),
        desiredWritesPerSecond = 1.0,
    )

    private val source = object : PeerStatusSource {
        override val machineCount = 40
        override val currentLeader = MemberId("leader")

        override fun compose() = status()
    }

    @Test
    fun `a capacity record contains as many machines as fit into a stored value`() {
        service.limits = ServiceLimits(limits.valueBytes, limits.transactionWrites, limits.writesPerSecond)
        val caller = network.callerOf("member", loop)
        PeerStatusExchange(
            loop,
            caller,
            store,
            SELF,
            emptyList(),
            PeerStatusTable(loop, SELF, emptyList()),
            source,
        ).start()
        sim.run(5000.0)
        assertEquals(0, service.limitRefusals.malformed, "${service.limitRefusals}")
        val value = Json.read(service.text(Keys.peerStatus(SELF))!!.toByteArray())!!
        val recorded = PeerMessageCodec.decodeStatus(RecordCodec.decodePeerStatus(value)!!)!!
        assertTrue(
            recorded.shards
                .single()
                .machines.size in 3..39,
            "${recorded.shards.single().machines.size} machines",
        )
    }

    private companion object {
        val STATE = Endpoint("10.2.0.1", 2379)
        val SELF = MemberId("member")
    }
}
