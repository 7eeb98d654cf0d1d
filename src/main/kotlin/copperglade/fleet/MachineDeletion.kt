package copperglade.fleet

import copperglade.protocol.CloudApiCodec
import copperglade.protocol.Endpoint
import copperglade.protocol.MachineName
import copperglade.protocol.MonotonicTime
import copperglade.transport.HttpClient
import copperglade.transport.HttpStatus
import copperglade.transport.Method
import copperglade.transport.Request
import org.slf4j.LoggerFactory
import kotlin.time.Duration.Companion.seconds

/** Deletes machines at the cloud, and records recent deletions, since the cloud's list may still show deleted machines. */
internal class MachineDeletion(private val http: HttpClient, private val cloud: Endpoint) {
    private val deletedAt = HashMap<MachineName, MonotonicTime>()

    fun isDeleted(machine: MachineName): Boolean = machine in deletedAt

    /** Drops deletions older than [RETRY_DELAY], so that a machine that is still listed is deleted again. */
    fun expire(now: MonotonicTime) {
        deletedAt.values.removeIf { now >= it + RETRY_DELAY }
    }

    fun delete(machines: List<MachineName>, now: MonotonicTime) {
        machines.forEach { deletedAt[it] = now }
        log.info("dead_machines_deletion_requested machines={}", machines)
        http.call(cloud, Request(Method.POST, "/machines/delete", CloudApiCodec.encodeDeletion(machines)), REQUEST_TIMEOUT) { reply ->
            if (reply?.status != HttpStatus.OK) machines.forEach(deletedAt::remove)
        }
    }

    private companion object {
        val REQUEST_TIMEOUT = 5.seconds
        val RETRY_DELAY = 15.seconds
        val log = LoggerFactory.getLogger("fleet")
    }
}
