package copperglade.settings

import com.fasterxml.jackson.databind.JsonNode
import copperglade.protocol.Json
import copperglade.protocol.MemberId
import copperglade.protocol.TeamName
import copperglade.protocol.fieldOrNull
import copperglade.protocol.stringOrNull

/** Reads the platform's settings file. Fields that aren't known are ignored; each other error names its field. */
object PlatformSettingsParser {
    /** Reads the settings; throws [InvalidSettingException] where they are no JSON object or a field makes no sense. */
    fun parse(bytes: ByteArray): PlatformSettings {
        val root = Json.readStrict(bytes)?.takeIf { it.isObject } ?: throw InvalidSettingException("settings: not a JSON object")
        val outside = root.section("outside")
        val deployment = root.section("deployment")
        val workers = deployment.section("workers")
        val state = deployment.section("state")
        val cloud = deployment.section("cloud")
        val settings = PlatformSettings(
            member = MemberId(root.string("member")),
            zone = root.string("location"),
            clientListen = root.endpoint("client_listen"),
            clusterListen = root.endpoint("cluster_listen"),
            peers = root.items("known").map(::peer),
            cloud = outside.endpoint("cloud"),
            state = outside.endpoint("state"),
            zones = deployment.items("zones").map { it.textValue() ?: throw InvalidSettingException("deployment.zones: not strings") },
            teams = deployment.items("teams").map(::team).associateBy { it.name },
            objectives = objectives(deployment),
            heartbeatIntervalSeconds = workers.positive("report_s"),
            leaseSeconds = workers.positive("lease_s"),
            cancelSeconds = workers.positive("cancel_s"),
            stateRequestsPerSecond = state.stateLimit("rps"),
            stateWritesPerSecond = state.stateLimit("write_rps"),
            valueKb = state.stateLimit("value_kb"),
            transactionWrites = state.integerStateLimit("txn_ops"),
            cloudRequestsPerSecond = cloud.positive("rps"),
            listLagSeconds = cloud.nonNegative("list_lag_s"),
            fileDescriptorLimit = deployment.section("resources").positive("fd_limit").toInt(),
            memoryMb = deployment.section("resources").positiveOrNull("mem_mb"),
        )
        if (settings.cancelSeconds <= settings.leaseSeconds) {
            throw InvalidSettingException("deployment.workers.cancel_s: must be larger than lease_s")
        }
        return settings
    }

    private fun objectives(deployment: JsonNode): ServiceLevelObjectives {
        val defaults = ServiceLevelObjectives()
        val stated = deployment.fieldOrNull("objectives")?.takeIf { it.isArray } ?: return defaults
        return ServiceLevelObjectives(
            deadlineMultiples = stated
                .filter { it.stringOrNull("kind") == "deadline" }
                .groupBy({ it.string("class") }, { it.positiveOrNull("times") ?: 1.0 })
                .mapValues { (_, times) -> times.sorted() },
            guaranteeWithinSeconds =
                stated.firstOrNull { it.stringOrNull("kind") == "guarantee" }?.positive("within_s") ?: defaults.guaranteeWithinSeconds,
            startedWithinSeconds = longestWithinSeconds(stated, "wait"),
            finishedWithinSeconds = longestWithinSeconds(stated, "finished"),
        )
    }

    /** By class, the longest time that an objective of this [kind] allows. */
    private fun longestWithinSeconds(stated: JsonNode, kind: String): Map<String, Double> = stated
        .filter { it.stringOrNull("kind") == kind }
        .groupBy({ it.string("class") }, { it.positive("within_s") })
        .mapValues { (_, times) -> times.max() }

    private fun peer(node: JsonNode) = Peer(MemberId(node.string("member")), node.string("location"), node.endpoint("endpoint"))

    private fun team(node: JsonNode) = Team(
        TeamName(node.string("name")),
        node.nonNegative("cpus"),
        node.nonNegative("cpus_max"),
        node.nonNegative("gpus"),
        node.nonNegative("gpus_max"),
    )
}
