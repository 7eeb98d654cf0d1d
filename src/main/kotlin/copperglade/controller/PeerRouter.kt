package copperglade.controller

import copperglade.jobs.CancellationBroadcast
import copperglade.membership.LeaseEndorsement
import copperglade.membership.PeerStatusExchange
import copperglade.protocol.MemberId
import copperglade.protocol.PeerWire
import copperglade.transport.HttpStatus
import copperglade.transport.Reply
import copperglade.transport.Request
import copperglade.transport.RequestHandler
import copperglade.transport.Responder

/** Routes the requests of the other controllers. */
internal class PeerRouter(
    private val leaseEndorsement: LeaseEndorsement,
    private val cancellationBroadcast: CancellationBroadcast,
    private val peerStatusExchange: PeerStatusExchange,
) : RequestHandler {
    override fun handle(request: Request, responder: Responder) {
        val status = when (request.path) {
            PeerWire.ENDORSEMENT_PATH -> endorse(request)
            PeerWire.CANCELLED_PATH -> receiveCancellations(request)
            PeerWire.PATH -> receivePeerStatus(request)
            else -> HttpStatus.NOT_FOUND
        }
        responder.send(Reply(status))
    }

    private fun endorse(request: Request): Int {
        val endorsed = leaseEndorsement.endorse(MemberId(request.body.decodeToString()))
        return if (endorsed) HttpStatus.OK else HttpStatus.CONFLICT
    }

    private fun receiveCancellations(request: Request): Int {
        val cancellations = PeerWire.decodeCancelled(request.body) ?: return HttpStatus.BAD_REQUEST
        cancellationBroadcast.receive(cancellations)
        return HttpStatus.OK
    }

    private fun receivePeerStatus(request: Request): Int {
        val status = PeerWire.decode(request.body) ?: return HttpStatus.BAD_REQUEST
        peerStatusExchange.receive(status)
        return HttpStatus.OK
    }
}
