package copperglade.fleet

import copperglade.protocol.ListedMachine
import copperglade.protocol.MachineName
import copperglade.protocol.MachineStatus
import copperglade.protocol.MonotonicTime
import copperglade.protocol.secondsSince

/** Detects machines that will never run tasks again, from the cloud's list and the reports of the shard owners. */
internal class MachineLiveness(private val types: MachineTypeCatalog, private val reports: MachineReports) {
    /** When each machine was last reported, or was last found missing while no reachable owner reported on the machine's shard. */
    private val lastReportedAt = HashMap<MachineName, MonotonicTime>()

    fun recordReported(machines: Set<MachineName>, now: MonotonicTime) = machines.forEach { lastReportedAt[it] = now }

    fun reset() = lastReportedAt.clear()

    /** Whether the last report of [machine] is recent enough to rely on; true where no report is recorded. */
    fun isReportRecent(machine: MachineName, now: MonotonicTime): Boolean =
        now.secondsSince(lastReportedAt[machine] ?: now) < REPORT_TIMEOUT_SECONDS

    /**
     * Whether [machine] has failed, has taken too long to boot, or is running but not reported by an owner that reports on its shard.
     */
    fun isDead(machine: ListedMachine, now: MonotonicTime): Boolean {
        val bootSeconds = types[machine.type]?.bootSeconds ?: 0.0
        return when (machine.status) {
            MachineStatus.FAILED -> true
            MachineStatus.BOOTING -> machine.ageSeconds > bootSeconds * MAX_BOOT_FACTOR + BOOT_SLACK_SECONDS
            MachineStatus.RUNNING -> {
                val isShardReported = reports.isShardReported(machine)
                val reportedAt = lastReportedAt.getOrPut(machine.name) { now }
                if (!isShardReported) lastReportedAt[machine.name] = now
                machine.ageSeconds > bootSeconds && now.secondsSince(reportedAt) > REPORT_TIMEOUT_SECONDS
            }
        }
    }

    private companion object {
        const val MAX_BOOT_FACTOR = 3.0
        const val BOOT_SLACK_SECONDS = 20.0
        const val REPORT_TIMEOUT_SECONDS = 40.0
    }
}
