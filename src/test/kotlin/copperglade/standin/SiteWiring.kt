package copperglade.standin

import copperglade.protocol.Endpoint
import copperglade.storage.Keys
import copperglade.transport.EventLoop
import copperglade.transport.HttpClient

// What simulated, local and soak sites wire alike.

/** The worker of [machine], which reports to the controllers of [site]; it has to be started. */
fun workerOf(
    machine: StandInCloud.Machine,
    host: WorkerHost,
    site: WorkerSite,
    endpoint: Endpoint,
    fetchGbPerSecond: Double,
    speed: Double = 1.0,
) = StandInWorker(
    host.loop,
    host.http,
    host.world,
    site,
    machine.name,
    endpoint,
    machine.type.name,
    machine.zone,
    machine.spot,
    machine.type.cpus,
    fetchGbPerSecond,
    speed,
)

/** The event loop and the connections of one machine, and the [world] that its worker informs. */
class WorkerHost(val loop: EventLoop, val http: HttpClient, val world: World)

/** The index in [names] of the controller that the state service's records name as the leader; null while there is none. */
fun StandInState.leaderAmong(names: List<String>): Int? =
    text(Keys.LEADER)?.let { record -> names.indices.firstOrNull { "\"${names[it]}\"" in record } }
