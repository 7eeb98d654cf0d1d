package copperglade.agents

import copperglade.membership.Membership
import copperglade.protocol.Command
import copperglade.protocol.Heartbeat
import copperglade.protocol.MonotonicTime
import copperglade.tasks.Machine
import copperglade.tasks.RunLifecycle
import copperglade.tasks.RunState
import copperglade.tasks.ShardState
import copperglade.transport.Clock
import org.slf4j.LoggerFactory

/** Receives the states that workers report in their replies to direct commands. */
fun interface CommandReplyListener {
    /** Handles [heartbeat], the reply of [machine]'s worker to a command that was sent at [sentAt]. */
    fun onReply(machine: Machine, heartbeat: Heartbeat, sentAt: MonotonicTime)
}

/**
 * Sends direct commands to the workers of a shard. [HeartbeatResponses] adds commands to the responses to heartbeats, starts among them.
 *
 * Invariants: no start is sent directly; a machine has at most one direct command in flight; commands are sent only to fenced machines; direct
 * commands are sent only while [Membership.mayAct], which is checked immediately before sending. These guard against commands of a
 * controller that has lost the shard, and against decisions based on a state that a former owner's commands may still change.
 */
class WorkerCommands(
    private val state: ShardState,
    private val planner: CommandPlanner,
    private val lifecycle: RunLifecycle,
    private val client: WorkerClient,
    private val membership: Membership,
    private val clock: Clock,
    private val replyListener: CommandReplyListener,
) {
    /** Sends [machine]'s worker the commands that are due, or only the fencing token if the machine isn't fenced. */
    fun sendDue(machine: Machine) {
        if (!state.isOpen || machine.channel.commandInFlight || machine.deleting || !membership.mayAct) return
        if (!state.isFenced(machine)) return sendFencingToken(machine)
        releaseNeverSent(machine)
        val commands = planner.dueDirectCommands(machine)
        if (commands.isNotEmpty()) {
            send(machine, commands)
        } else if (machine.channel.unresponsive) {
            sendFencingToken(machine)
        }
    }

    /** Releases the runs that were stopped before their start was sent: their tasks can't be on [machine]. */
    private fun releaseNeverSent(machine: Machine) {
        for (run in machine.runs.toList()) {
            val neverSent = run.state == RunState.STOPPING && !run.confirmedByWorker && run.startSentAt == MonotonicTime.NEVER
            if (neverSent &&
                !machine.channel.startMayTakeEffect(run.task, run.attempt, clock.now())
            ) {
                lifecycle.release(run, "start not sent")
            }
        }
    }

    /** Sends [machine]'s worker the fencing token in a message without commands, to which the worker replies with its state. */
    fun sendFencingToken(machine: Machine) {
        val channel = machine.channel
        if (!state.isOpen || channel.commandInFlight || clock.now() < channel.commandSentAt + CommandPlanner.RESEND_INTERVAL) return
        send(machine, emptyList())
    }

    private fun send(machine: Machine, planned: List<Command>) {
        if (!membership.mayAct) return
        val commands = client.approve(machine.name, machine.epoch, state.fencingToken, planned)
        planner.markSent(machine, commands)
        val sentAt = clock.now()
        machine.channel.recordCommandSent(sentAt)
        client.send(machine.endpoint, state.fencingToken, machine.epoch, commands) { reply -> onReply(machine, reply, sentAt) }
    }

    private fun onReply(machine: Machine, reply: CommandReply, sentAt: MonotonicTime) {
        when (reply) {
            CommandReply.TimedOut -> machine.channel.recordCommandTimedOut(clock::now)
            is CommandReply.Answered -> {
                machine.channel.recordCommandAnswered()
                if (state.machines[machine.name] === machine) onAnswer(machine, reply, sentAt)
            }
        }
    }

    private fun onAnswer(machine: Machine, answer: CommandReply.Answered, sentAt: MonotonicTime) {
        val heartbeat = answer.readHeartbeat()
        if (heartbeat != null && heartbeat.machine == machine.name) {
            if (heartbeat.fencingToken > state.fencingToken) {
                log.info(
                    "higher_fencing_token_seen machine={} worker_token={} own_token={}",
                    machine.name,
                    heartbeat.fencingToken,
                    state.fencingToken,
                )
            }
            replyListener.onReply(machine, heartbeat, sentAt)
        } else {
            log.warn("command_reply_unexpected machine={} status={}", machine.name, answer.status)
        }
        sendDue(machine)
    }

    private companion object {
        val log = LoggerFactory.getLogger("agents")
    }
}
