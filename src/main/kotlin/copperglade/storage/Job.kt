package copperglade.storage

import copperglade.protocol.Baton
import copperglade.protocol.BlockName
import copperglade.protocol.JobId
import copperglade.protocol.JobSpec
import copperglade.protocol.JobStatus
import copperglade.protocol.Stamp
import java.util.BitSet

/** One task's standing assignment. */
class Assignment(val task: Int, val block: BlockName, val baton: Baton, val generation: Int, val recalled: Boolean)

/** Everything the state service holds of one job that is not over. */
class Job(val id: JobId) {
    var live: Stamped<LiveRecord>? = null
    val pages = HashMap<Int, Stamped<AssignmentPage>>()
    val works = HashMap<WorkPlace, Stamped<WorkRecord>>()

    /** Tasks that are done. Only ever grows while the job is live. */
    val done = BitSet()

    val spec: JobSpec? get() = live?.value?.spec
    val empty: Boolean get() = live == null && pages.isEmpty() && works.isEmpty()
    val pageCount: Int get() = spec?.let { (it.tasks + Keys.PAGE_TASKS - 1) / Keys.PAGE_TASKS } ?: 0
    val complete: Boolean get() = spec?.let { it.tasks == done.cardinality() } ?: false
    val cancelled: Boolean get() = live?.value?.cancelled ?: false

    fun rememberDone(record: WorkRecord) = done.or(record.done)

    /**
     * Done goes before cancelled: the mark of a cancellation changes the live record's stamp, which every write of
     * finished tasks has as a condition. So nothing can become done after the mark, and neither answer is ever taken
     * back.
     */
    fun status(): JobStatus = when {
        complete -> JobStatus.DONE
        cancelled -> JobStatus.CANCELLED
        pages.isNotEmpty() && assignments().any() -> JobStatus.RUNNING
        else -> JobStatus.QUEUED
    }

    /** What is assigned and neither done nor given back: all that may be on a machine. */
    fun assignments(): Sequence<Assignment> = sequence {
        for ((number, page) in pages) {
            for (group in page.value.groups) {
                val returned = works[WorkPlace(number, group.block)]?.value?.returned?.get(group.generation)
                var task = group.tasks.nextSetBit(0)
                while (task >= 0) {
                    if (!done.get(task) && returned?.get(task) != true) {
                        yield(
                            Assignment(task, group.block, group.baton, group.generation, page.value.recalled.get(task)),
                        )
                    }
                    task = group.tasks.nextSetBit(task + 1)
                }
            }
        }
    }

    fun restarted(task: Int): Boolean = works.any { (place, work) ->
        place.page == task / Keys.PAGE_TASKS && work.value.restarted.get(task)
    }

    fun liveStamp(): Stamp = live?.stamp ?: Stamp.ABSENT
}
