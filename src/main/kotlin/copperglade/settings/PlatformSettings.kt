package copperglade.settings

import com.fasterxml.jackson.databind.JsonNode
import copperglade.protocol.Endpoint
import copperglade.protocol.Json
import copperglade.protocol.MemberId
import copperglade.protocol.TeamName
import copperglade.protocol.doubleOrNull
import copperglade.protocol.fieldOrNull
import copperglade.protocol.stringOrNull

/** A setting that is missing or makes no sense; [message] names it. */
class InvalidSettingException(message: String) : Exception(message)

class Peer(val member: MemberId, val zone: String, val endpoint: Endpoint)

/** A team's guarantee and its limit; a limit of 0 means none. */
class Team(val name: TeamName, val cpus: Double, val cpusMax: Double, val gpus: Double, val gpusMax: Double) {
    fun allows(cpusUsed: Double, gpusUsed: Double): Boolean =
        (cpusMax <= 0.0 || cpusUsed <= cpusMax + HAIR) && (gpusMax <= 0.0 || gpusUsed <= gpusMax + HAIR)

    fun guarantees(cpusUsed: Double, gpusUsed: Double): Boolean = cpusUsed <= cpus + HAIR && gpusUsed <= gpus + HAIR

    private companion object {
        const val HAIR = 1e-6
    }
}

/**
 * The aims, as far as decisions follow from them.
 *
 * @property deadlineMultiples by load, the multiples of its deadline that its jobs are measured by.
 * @property guaranteeWithinSeconds how soon work within a guarantee should start.
 * @property startedWithinSeconds by load, how soon its tasks should have started, whatever their deadline.
 * @property finishedWithinSeconds by load, how soon its jobs should be done, whatever their deadline.
 */
class ServiceLevelObjectives(
    val deadlineMultiples: Map<String, List<Double>> = emptyMap(),
    val guaranteeWithinSeconds: Double = 10.0,
    val startedWithinSeconds: Map<String, Double> = emptyMap(),
    val finishedWithinSeconds: Map<String, Double> = emptyMap(),
) {
    /** How soon a job of [load] whose tasks run for [runS] should be done at the latest; null where no aim says so. */
    fun latestEndSeconds(load: String, runS: Double): Double? =
        listOfNotNull(finishedWithinSeconds[load], startedWithinSeconds[load]?.let { it + runS }).minOrNull()
}

/**
 * The settings file that the platform hands to every controller. Fields that we don't know are ignored.
 *
 * @property stateRequestsPerSecond this and the other limits of the state service ([stateWritesPerSecond], [valueKb], [transactionWrites]) are
 * the lower ones of those that hold now and those that are announced.
 */
class PlatformSettings(
    val member: MemberId,
    val zone: String,
    val clientListen: Endpoint,
    val clusterListen: Endpoint,
    val peers: List<Peer>,
    val cloud: Endpoint,
    val state: Endpoint,
    val zones: List<String>,
    val teams: Map<TeamName, Team>,
    val objectives: ServiceLevelObjectives,
    val heartbeatIntervalSeconds: Double,
    val leaseSeconds: Double,
    val cancelSeconds: Double,
    val stateRequestsPerSecond: Double,
    val stateWritesPerSecond: Double,
    val valueKb: Double,
    val transactionWrites: Int,
    val cloudRequestsPerSecond: Double,
    val listLagSeconds: Double,
    val fileDescriptorLimit: Int,
    /** The machine's memory in MB; null where the platform doesn't tell. */
    val memoryMb: Double? = null,
) {
    companion object {
        fun parse(bytes: ByteArray): PlatformSettings {
            val root = Json.readStrict(bytes)?.takeIf { it.isObject } ?: throw InvalidSettingException("settings: not a JSON object")
            val outside = root.section("outside")
            val deployment = root.section("deployment")
            val workers = deployment.section("workers")
            val state = deployment.section("state")
            val cloud = deployment.section("cloud")
            val settings = PlatformSettings(
                member = MemberId(root.words("member")),
                zone = root.words("location"),
                clientListen = root.endpoint("client_listen"),
                clusterListen = root.endpoint("cluster_listen"),
                peers = root
                    .items(
                        "known",
                    ).map { Peer(MemberId(it.words("member")), it.words("location"), it.endpoint("endpoint")) },
                cloud = outside.endpoint("cloud"),
                state = outside.endpoint("state"),
                zones = deployment.items("zones").map {
                    it.textValue()
                        ?: throw InvalidSettingException("deployment.zones: not strings")
                },
                teams = deployment.items("teams").map(::team).associateBy { it.name },
                objectives = objectives(deployment),
                heartbeatIntervalSeconds = workers.positive("report_s"),
                leaseSeconds = workers.positive("lease_s"),
                cancelSeconds = workers.positive("cancel_s"),
                stateRequestsPerSecond = state.limit("rps"),
                stateWritesPerSecond = state.limit("write_rps"),
                valueKb = state.limit("value_kb"),
                transactionWrites = state.wholeLimit("txn_ops"),
                cloudRequestsPerSecond = cloud.positive("rps"),
                listLagSeconds = cloud.amount("list_lag_s"),
                fileDescriptorLimit = deployment.section("resources").positive("fd_limit").toInt(),
                memoryMb = deployment.section("resources").let { if (it.fieldOrNull("mem_mb") == null) null else it.positive("mem_mb") },
            )
            if (settings.cancelSeconds <= settings.leaseSeconds) {
                throw InvalidSettingException("deployment.workers.cancel_s: must be larger than lease_s")
            }
            return settings
        }

        private fun objectives(deployment: JsonNode): ServiceLevelObjectives {
            val usual = ServiceLevelObjectives()
            val stated = deployment.fieldOrNull("objectives")?.takeIf { it.isArray } ?: return usual
            return ServiceLevelObjectives(
                deadlineMultiples = stated
                    .filter { it.stringOrNull("kind") == "deadline" }
                    .groupBy({ it.words("class") }, { if (it.fieldOrNull("times") == null) 1.0 else it.positive("times") })
                    .mapValues { (_, times) -> times.sorted() },
                guaranteeWithinSeconds =
                    stated.firstOrNull { it.stringOrNull("kind") == "guarantee" }?.positive("within_s") ?: usual.guaranteeWithinSeconds,
                startedWithinSeconds = withinS(stated, "wait"),
                finishedWithinSeconds = withinS(stated, "finished"),
            )
        }

        /** The longest time that an aim of this kind gives each class. */
        private fun withinS(stated: JsonNode, kind: String): Map<String, Double> = stated
            .filter { it.stringOrNull("kind") == kind }
            .groupBy({ it.words("class") }, { it.positive("within_s") })
            .mapValues { (_, times) -> times.max() }

        private fun team(node: JsonNode) = Team(
            TeamName(node.words("name")),
            node.amount("cpus"),
            node.amount("cpus_max"),
            node.amount("gpus"),
            node.amount("gpus_max"),
        )

        private fun JsonNode.section(name: String): JsonNode =
            fieldOrNull(name)?.takeIf { it.isObject } ?: throw InvalidSettingException("$name: missing or not an object")

        private fun JsonNode.items(name: String): JsonNode =
            fieldOrNull(name)?.takeIf { it.isArray } ?: throw InvalidSettingException("$name: missing or not a list")

        private fun JsonNode.words(name: String): String =
            stringOrNull(name)?.takeIf { it.isNotEmpty() } ?: throw InvalidSettingException("$name: missing or not a string")

        private fun JsonNode.endpoint(name: String): Endpoint =
            Endpoint.parse(words(name)) ?: throw InvalidSettingException("$name: not of the form host:port")

        private fun JsonNode.amount(name: String): Double =
            doubleOrNull(name)?.takeIf { it.isFinite() && it >= 0.0 }
                ?: throw InvalidSettingException("$name: missing or not a number of at least 0")

        /**
         * A limit of the state service: the lower of the present one and of the one that is announced in `next`. The
         * moment of the change is not announced, so the lower one is kept from the start.
         */
        private fun JsonNode.limit(name: String): Double = minOf(positive(name), announcedLimit(name) ?: Double.MAX_VALUE)

        private fun JsonNode.announcedLimit(name: String): Double? {
            val next = fieldOrNull("next") ?: return null
            if (!next.isObject) throw InvalidSettingException("state.next: not an object")
            if (next.fieldOrNull(name) == null) return null
            return next.doubleOrNull(name)?.takeIf { it.isFinite() && it > 0.0 }
                ?: throw InvalidSettingException("state.next.$name: must be a number larger than 0")
        }

        private fun JsonNode.wholeLimit(name: String): Int =
            limit(name).toInt().takeIf { it >= 1 } ?: throw InvalidSettingException("$name: must be at least 1")

        private fun JsonNode.positive(name: String): Double =
            amount(name).takeIf { it > 0.0 } ?: throw InvalidSettingException("$name: must be larger than 0")
    }
}
