package copperglade.compat

import com.fasterxml.jackson.databind.JsonNode
import copperglade.protocol.JobId
import copperglade.protocol.JobSpec
import copperglade.protocol.JobSpecCodec
import copperglade.protocol.Json
import copperglade.protocol.ParsedSubmission
import copperglade.protocol.PeerMessageCodec
import copperglade.protocol.PeerStatus
import copperglade.protocol.TeamName
import copperglade.settings.Team
import copperglade.sim.SimSite
import copperglade.sim.Simulation
import copperglade.sim.SiteScale
import copperglade.sim.crash
import copperglade.sim.cutController
import copperglade.sim.cutPeers
import copperglade.sim.heal
import copperglade.sim.killMachine
import copperglade.sim.submitArrays
import copperglade.sim.submitServices
import copperglade.storage.Keys
import copperglade.transport.Request
import java.io.File
import java.util.Base64
import java.util.TreeMap

/**
 * Runs simulated scenarios and records samples of what the controllers write to the state service and send to each other, in the files
 * that the tests of this package read. This program is not a test and is not run by the build;
 * `src/test/resources/production/README.md` describes when and how to run it. The only argument is the output directory.
 */
fun main(arguments: Array<String>) {
    val directory = File(arguments.single()).apply { mkdirs() }
    val recorder = SampleRecorder()
    runMixedScenario(recorder)
    runPreemptionScenario(recorder)
    runStragglerScenario(recorder)
    runLongOutageScenario(recorder)
    File(directory, "records.json").writeText(recorder.recordsJson())
    File(directory, "peer-messages.json").writeText(recorder.messagesJson())
}

/** Arrays and services, placement constraints, cancellations, and most of the failures that the controllers handle. */
private fun runMixedScenario(recorder: SampleRecorder) {
    val site = SimSite(Simulation(seed = 71), scale = SiteScale(machinesPerZone = 2, valueKb = 2.0), slowMachine = "i-000002")
    recorder.attachTo(site)
    site.submitServices(jobs = 2, tasks = 3)
    site.submitArrays(jobs = 12, tasks = 6)
    site.submit(SimSite.job(601, tasks = 3, oneZone = true)) { 30.0 }
    site.submit(SimSite.job(602, tasks = 4, spread = true)) { 30.0 }
    site.submit(SimSite.job(603, tasks = 2, zone = "south", spot = false)) { 20.0 }
    site.submit(jobOnNamedTypes()) { 20.0 }
    site.submit(SimSite.job(605, tasks = 300, cpus = 0.25, image = 2)) { 12.0 }
    runInSteps(site, 20.0, recorder)
    listOf("job-602", "job-501", "job-605").forEach { site.cancel(JobId(it)) }
    runInSteps(site, 5.0, recorder)
    site.submitArrays(jobs = 8, tasks = 12, first = 20)
    site.killMachine(0)
    runInSteps(site, 15.0, recorder)
    site.cutPeers()
    runInSteps(site, 8.0, recorder)
    site.heal()
    site.crash(site.leader() ?: 0)
    runInSteps(site, 15.0, recorder)
    site.state.outage = true
    runInSteps(site, 4.0, recorder)
    site.state.outage = false
    site.cutController(1, from = "workers")
    runInSteps(site, 15.0, recorder)
    site.heal()
    repeat(site.nodes) { site.crash(it) }
    runInSteps(site, 60.0, recorder)
    check(site.breaches.isEmpty()) { site.breaches.toString() }
}

/** A team claims its guarantee while another team uses it, so that assignments are preempted. */
private fun runPreemptionScenario(recorder: SampleRecorder) {
    val lender = TeamName("lender")
    val site = SimSite(
        Simulation(seed = 21),
        scale = SiteScale(machinesPerZone = 1, teamCpus = 100.0),
        otherTeam = Team(lender, 32.0, 100.0, 0.0, 0.0),
    )
    recorder.attachTo(site)
    site.submit(SimSite.job(701, tasks = 240)) { 600.0 }
    site.run(40.0)
    site.submit(SimSite.job(702, tasks = 16, team = lender)) { 20.0 }
    site.run(55.0)
    check(site.breaches.isEmpty()) { site.breaches.toString() }
}

/** One machine is slow, so that some of its tasks are restarted on another machine of its shard. */
private fun runStragglerScenario(recorder: SampleRecorder) {
    val site = SimSite(Simulation(seed = 5), nodes = 1, scale = SiteScale(machinesPerZone = 12, teamCpus = 400.0), slowMachine = "i-000002")
    recorder.attachTo(site)
    repeat(60) { number ->
        site.sim.after(
            number * 4000.0,
        ) { site.submit(SimSite.job(801 + number, tasks = 16, estimatedSeconds = 15.0)) { task -> 12.0 + task } }
    }
    site.run(300.0)
    check(site.breaches.isEmpty()) { site.breaches.toString() }
}

/** A controller is down for long, so that shards are moved to it after its restart. */
private fun runLongOutageScenario(recorder: SampleRecorder) {
    val site = SimSite(Simulation(seed = 5), scale = SiteScale(machinesPerZone = 3))
    recorder.attachTo(site)
    site.submitArrays(jobs = 20)
    site.run(20.0)
    site.crash(1, restartAfterMillis = 20_000.0)
    site.run(60.0)
    check(site.breaches.isEmpty()) { site.breaches.toString() }
}

private fun runInSteps(site: SimSite, seconds: Double, recorder: SampleRecorder) = repeat((seconds / STEP_SECONDS).toInt()) {
    site.run(STEP_SECONDS)
    recorder.updateSnapshot(site)
}

/** A job with all optional fields. */
private fun jobOnNamedTypes(): JobSpec {
    val text = """{"nameId":"job-604","load":"batch","crew":"team","haul":"array","urgency":"best_effort","boxes":2,"vcpus":1.5,
        "gpus":0.0,"memoryGb":2.25,"manifest":"img-3","pullGb":0.5,"fleets":["box"],"depot":"north","oneZone":false,
        "spread":false,"borrowed":true,"etaS":20.0,"waypointS":5.0,"unloadS":1.0,"dueS":90.0}"""
    return (JobSpecCodec.parse(Json.read(text.toByteArray())) as ParsedSubmission.Valid).spec
}

private const val STEP_SECONDS = 0.25

/** Keeps up to [MAX_PER_KIND] records of each kind, and the shortest peer message of each kind. */
private class SampleRecorder {
    private class Record(val key: String, val value: JsonNode)

    private val records = LinkedHashMap<String, ArrayList<Record>>()
    private val messages = TreeMap<String, ByteArray>()
    private var snapshot = emptyList<Record>()
    private var snapshotKinds = 0

    fun attachTo(site: SimSite) {
        site.network.tamperRequest = { _, request -> request.also(::record) }
    }

    private fun record(request: Request) = when (request.path) {
        "/multi" -> recordTransaction(request.body)
        PeerMessageCodec.STATUS_PATH -> keepShortest(statusKind(PeerMessageCodec.decodeStatus(request.body)!!), request.body)
        PeerMessageCodec.ENDORSEMENT_PATH -> keepShortest("vouch", request.body)
        PeerMessageCodec.CANCELLATIONS_PATH -> keepShortest("cancelled", request.body)
        else -> Unit
    }

    private fun recordTransaction(body: ByteArray) {
        val text = body.decodeToString()
        for (write in Json.read(body)!!.get("writes")) {
            val key = write.get("set")?.asText() ?: continue
            val value = write.get("data")
            // The text of the parsed value must equal the bytes that were sent.
            check("\"data\":$value" in text) { "$value is not in $text" }
            val keptSoFar = records.getOrPut(recordKind(key, value)) { ArrayList() }
            if (keptSoFar.size < MAX_PER_KIND) keptSoFar += Record(key, value)
        }
    }

    private fun keepShortest(kind: String, body: ByteArray) {
        val keptSoFar = messages[kind]
        if (keptSoFar == null || body.size < keptSoFar.size) messages[kind] = body
    }

    /** Replaces the snapshot with all records of the state service if they are of more kinds than those in the snapshot. */
    fun updateSnapshot(site: SimSite) {
        val all = site.state.keys(Keys.ROOT).map { Record(it, Json.read(site.state.text(it)!!.toByteArray())!!) }
        // A stored peer status remains once it is written, so its kind says nothing about this point in time.
        val kinds = all
            .filter { "/room/" !in it.key }
            .map { recordKind(it.key, it.value) }
            .distinct()
            .size
        if (kinds <= snapshotKinds) return
        snapshotKinds = kinds
        snapshot = all
    }

    fun recordsJson(): String {
        val samples = records.toSortedMap().values.flatten()
        return "{\"snapshot\":[\n${lines(snapshot)}\n],\n\"writes\":[\n${lines(samples)}\n]}\n"
    }

    private fun lines(of: List<Record>) = of.joinToString(",\n") { "{\"key\":\"${it.key}\",\"value\":${it.value}}" }

    fun messagesJson(): String = messages.entries.joinToString(",\n", "{\n", "\n}\n") { (name, body) ->
        "\"$name\":\"${Base64.getEncoder().encodeToString(body)}\""
    }

    private companion object {
        const val MAX_PER_KIND = 1
    }
}

/** Returns the kind of a record, derived from its key and from the fields that are present. */
private fun recordKind(key: String, value: JsonNode): String {
    val directory = key.removePrefix(Keys.CURRENT).substringBefore('/')
    val features = when (directory) {
        "live" -> liveFeatures(value)
        "task" -> listOf(key.split('/')[3]) + packedRecordFeatures(value) + groupFeatures(value)
        "work" -> packedRecordFeatures(value)
        "block" -> listOf(if (value.get("inc").asLong() == 0L) "given up" else "owned")
        "room" -> listOf(statusKind(PeerMessageCodec.decodeStatus(value.get("note").binaryValue())!!))
        "images" -> listOf(if (value.isEmpty) "empty" else "filled")
        "cg" -> listOf(value.get("status").asText())
        else -> emptyList()
    }
    return "$directory $features"
}

private fun liveFeatures(value: JsonNode): List<String> {
    val spec = value.get("spec")
    val flags = listOf("oneZone", "spread").filter { spec.get(it).asBoolean() }
    val optional = listOf("fleets", "depot").filter { spec.has(it) }
    return flags + optional + listOf(spec.get("haul").asText()) + if (value.has("cancelled")) listOf("cancelled") else emptyList()
}

private fun packedRecordFeatures(value: JsonNode): List<String> = value
    .flatMap { part -> part.fieldNames().asSequence().toList() }
    .distinct()
    .sorted()

private fun groupFeatures(value: JsonNode): List<String> {
    val groups = value.map { it.get("g") }
    return listOfNotNull(
        "no group".takeIf { groups.any { it.isEmpty } },
        "several groups".takeIf { groups.any { it.size() > 1 } },
        "later generation".takeIf { groups.any { entries -> entries.any { it[2].asInt() > 1 } } },
    )
}

private fun statusKind(status: PeerStatus): String {
    val machines = status.shards.flatMap { it.machines }
    val parts = listOfNotNull(
        if (status.shards.isEmpty()) "brief" else "full",
        "lead".takeIf { status.isLeader },
        "release".takeIf { status.shardsToRelease.isNotEmpty() },
        "retire".takeIf { status.machinesToRetire.isNotEmpty() },
        "machines".takeIf { machines.isNotEmpty() },
        "usable".takeIf { machines.any { it.usable } },
        "to replace".takeIf { machines.any { !it.worthKeeping } },
        "images".takeIf { machines.any { it.images.isNotEmpty() } },
        "yielding".takeIf { machines.any { machine -> machine.preemptible.any { it.cpus > 0.0 } } },
    )
    return "note ${parts.joinToString(" ")}"
}
