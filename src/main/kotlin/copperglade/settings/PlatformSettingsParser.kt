package copperglade.settings

import com.fasterxml.jackson.databind.JsonNode
import copperglade.protocol.Json
import copperglade.protocol.MemberId
import copperglade.protocol.TeamName
import copperglade.protocol.fieldOrNull
import copperglade.protocol.stringOrNull

/** Reads the platform's settings file. Unknown fields are ignored; each error names its field. */
object PlatformSettingsParser {
    /** Parses the settings; throws [InvalidSettingException] where [bytes] are not a JSON object or a field is missing or invalid. */
    fun parse(bytes: ByteArray): PlatformSettings {
        val root = Json.readStrict(bytes)?.takeIf { it.isObject } ?: throw InvalidSettingException("settings: expected a JSON object")
        val outside = root.objectField("outside")
        val deployment = root.objectField("deployment")
        val workers = deployment.objectField("workers")
        val state = deployment.objectField("state")
        val cloud = deployment.objectField("cloud")
        val settings = PlatformSettings(
            member = MemberId(root.stringField("member")),
            zone = root.stringField("location"),
            clientListen = root.endpointField("client_listen"),
            clusterListen = root.endpointField("cluster_listen"),
            peers = root.listField("known").map(::peer),
            cloud = outside.endpointField("cloud"),
            state = outside.endpointField("state"),
            zones = deployment.listField("zones").map { it.textValue() ?: throw InvalidSettingException("deployment.zones: not strings") },
            teams = deployment.listField("teams").map(::team).associateBy { it.name },
            objectives = objectives(deployment),
            heartbeatIntervalSeconds = workers.positiveNumber("report_s"),
            workerLeaseSeconds = workers.positiveNumber("lease_s"),
            cancellationDeadlineSeconds = workers.positiveNumber("cancel_s"),
            stateRequestsPerSecond = state.stateLimit("rps"),
            stateWritesPerSecond = state.stateLimit("write_rps"),
            maxValueKb = state.stateLimit("value_kb"),
            maxTransactionWrites = state.integerStateLimit("txn_ops"),
            cloudRequestsPerSecond = cloud.positiveNumber("rps"),
            machineListLagSeconds = cloud.nonNegativeNumber("list_lag_s"),
            fileDescriptorLimit = deployment.objectField("resources").positiveNumber("fd_limit").toInt(),
            memoryMb = deployment.objectField("resources").positiveNumberOrNull("mem_mb"),
        )
        if (settings.cancellationDeadlineSeconds <= settings.workerLeaseSeconds) {
            throw InvalidSettingException("deployment.workers.cancel_s: must be larger than lease_s")
        }
        return settings
    }

    private fun objectives(deployment: JsonNode): ServiceLevelObjectives {
        val defaults = ServiceLevelObjectives()
        val objectiveNodes = deployment.fieldOrNull("objectives")?.takeIf { it.isArray } ?: return defaults
        return ServiceLevelObjectives(
            deadlineMultiples = objectiveNodes
                .filter { it.stringOrNull("kind") == "deadline" }
                .groupBy({ it.stringField("class") }, { it.positiveNumberOrNull("times") ?: 1.0 })
                .mapValues { (_, times) -> times.sorted() },
            guaranteeWithinSeconds =
                objectiveNodes.firstOrNull { it.stringOrNull("kind") == "guarantee" }?.positiveNumber("within_s")
                    ?: defaults.guaranteeWithinSeconds,
            startedWithinSeconds = longestWithinSeconds(objectiveNodes, "wait"),
            finishedWithinSeconds = longestWithinSeconds(objectiveNodes, "finished"),
        )
    }

    /** For each workload class, the longest time that an objective of this [kind] allows. */
    private fun longestWithinSeconds(objectiveNodes: JsonNode, kind: String): Map<String, Double> = objectiveNodes
        .filter { it.stringOrNull("kind") == kind }
        .groupBy({ it.stringField("class") }, { it.positiveNumber("within_s") })
        .mapValues { (_, times) -> times.max() }

    private fun peer(node: JsonNode) = Peer(
        MemberId(node.stringField("member")),
        node.stringField("location"),
        node.endpointField("endpoint"),
    )

    private fun team(node: JsonNode) = Team(
        TeamName(node.stringField("name")),
        node.nonNegativeNumber("cpus"),
        node.nonNegativeNumber("cpus_max"),
        node.nonNegativeNumber("gpus"),
        node.nonNegativeNumber("gpus_max"),
    )
}
