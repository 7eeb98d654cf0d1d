package copperglade.standin

import copperglade.protocol.Json
import copperglade.protocol.MonotonicTime
import copperglade.protocol.booleanOrNull
import copperglade.protocol.longOrNull
import copperglade.protocol.secondsSince
import copperglade.protocol.stringOrNull
import copperglade.protocol.writeJsonArray
import copperglade.protocol.writeJsonObject
import copperglade.storage.TokenBucket
import copperglade.transport.EventLoop
import copperglade.transport.Reply
import copperglade.transport.Request
import copperglade.transport.RequestHandler
import copperglade.transport.Responder
import kotlin.time.Duration.Companion.seconds

class CloudType(val name: String, val cpus: Double, val memoryGb: Double, val bootSeconds: Double, val perZone: Int)

/** The cloud, written from the protocol. [boot] is called when a machine is up. */
class StandInCloud(
    private val loop: EventLoop,
    private val types: List<CloudType>,
    private val zones: List<String>,
    private val boot: (Machine) -> Unit,
    /** Requests a second; bursts worth two seconds are allowed, and what is above gets 429. */
    rps: Double = Double.MAX_VALUE,
    private val deleted: (Machine) -> Unit,
) : RequestHandler {
    private val budget = TokenBucket(rps, BURST_S, loop.now())

    /** Requests that were refused for coming too fast. */
    var refused = 0
        private set

    class Machine(
        val name: String,
        val address: String,
        val type: CloudType,
        val zone: String,
        val spot: Boolean,
        val at: MonotonicTime,
    ) {
        var up = false
        var gone = false
    }

    /** How many times as long as usual the machine of this number takes to come up; null: it never does. */
    var bootTimeFactor: (Int) -> Double? = { 1.0 }
    private val machines = LinkedHashMap<String, Machine>()
    private val answers = HashMap<String, List<String>>()

    /** The number of machines that were launched and are not up yet. */
    val booting: Int get() = machines.values.count { !it.up }

    override fun handle(request: Request, responder: Responder) {
        if (!budget.tryTake(1, loop.now())) {
            refused++
            return responder.send(Reply(429))
        }
        val node = Json.read(request.body)
        val path = request.path.substringBefore('?')
        responder.send(
            when (path) {
                "/machine_types" -> Reply(200, typeList())
                "/machines" -> if (request.path.contains(
                        '?',
                    )
                ) {
                    Reply(200, list(request.path.substringAfter("from=").substringBefore('&')))
                } else {
                    rent(node!!)
                }
                "/machines/delete" -> {
                    node!!.get("trucks").forEach { name -> machines.remove(name.asText())?.let { take(it) } }
                    Reply(200)
                }
                else -> Reply(400)
            },
        )
    }

    /** Takes a machine away without a word. */
    fun take(machine: Machine) {
        machines.remove(machine.name)
        machine.gone = true
        deleted(machine)
    }

    private fun rent(node: com.fasterxml.jackson.databind.JsonNode): Reply {
        val request = node.stringOrNull("hire")!!
        val known = answers[request]
        val type = types.first { it.name == node.stringOrNull("fleet") }
        val zone = node.stringOrNull("depot")!!
        val spot = node.booleanOrNull("borrowed")!!
        val names = known ?: run {
            val left = type.perZone - machines.values.count { it.type === type && it.zone == zone && it.spot == spot }
            if (left <= 0) return Reply(503, Json.write { writeJsonObject { writeStringField("error", "no capacity") } })
            List(minOf(left.toLong(), node.longOrNull("howMany")!!).toInt()) { create(type, zone, spot).name }.also {
                answers[request] =
                    it
            }
        }
        return Reply(200, Json.write { writeJsonObject { writeJsonArray("trucks") { names.forEach(::writeString) } } })
    }

    private var created = 0
    val launchedInAll: Int get() = created

    private fun create(type: CloudType, zone: String, spot: Boolean): Machine {
        val number = ++created
        val machine =
            Machine(
                "i-%06d".format(number),
                "10.9.${number / 200}.${number % 200 + 1}:9000",
                type,
                zone,
                spot,
                loop.now(),
            )
        machines[machine.name] = machine
        val factor = bootTimeFactor(number) ?: return machine
        loop.after((type.bootSeconds * factor).seconds) {
            if (!machine.gone) {
                machine.up = true
                boot(machine)
            }
        }
        return machine
    }

    private fun typeList() = Json.write {
        writeJsonObject {
            writeJsonArray("fleets") {
                for (type in types) {
                    writeJsonObject {
                        writeStringField("name", type.name)
                        writeNumberField("vcpus", type.cpus)
                        writeNumberField("gpus", 0)
                        writeNumberField("memoryGb", type.memoryGb)
                        writeNumberField("localGb", 60)
                        writeNumberField("pullGbPerS", 1.0)
                        writeNumberField("price", 1.0)
                        writeNumberField("lowPrice", 0.4)
                        writeNumberField("bootS", type.bootSeconds)
                        writeJsonArray("depots") { zones.forEach(::writeString) }
                    }
                }
            }
        }
    }

    private fun list(from: String): ByteArray {
        val rest = machines.values.filter { it.name > from }
        return list(rest.take(PAGE), rest.size > PAGE)
    }

    private fun list(page: List<Machine>, more: Boolean) = Json.write {
        writeJsonObject {
            writeJsonArray("trucks") {
                for (machine in page) {
                    writeJsonObject {
                        writeStringField("nameId", machine.name)
                        writeStringField("addr", machine.address)
                        writeStringField("fleet", machine.type.name)
                        writeStringField("depot", machine.zone)
                        writeBooleanField("borrowed", machine.spot)
                        writeStringField("status", if (machine.up) "running" else "starting")
                        writeNumberField("ageS", loop.now().secondsSince(machine.at))
                    }
                }
            }
            writeBooleanField("truncated", more)
        }
    }

    private companion object {
        const val PAGE = 500
        const val BURST_S = 2.0
    }
}
