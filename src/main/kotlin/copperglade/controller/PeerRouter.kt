package copperglade.controller

import copperglade.jobs.CancellationBroadcast
import copperglade.membership.LeaseEndorsement
import copperglade.membership.PeerStatusExchange
import copperglade.protocol.MemberId
import copperglade.protocol.PeerMessageCodec
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
            PeerMessageCodec.ENDORSEMENT_PATH -> endorse(request)
            PeerMessageCodec.CANCELLATIONS_PATH -> receiveCancellations(request)
            PeerMessageCodec.STATUS_PATH -> receivePeerStatus(request)
            else -> HttpStatus.NOT_FOUND
        }
        responder.send(Reply(status))
    }

    private fun endorse(request: Request): Int {
        val endorsed = leaseEndorsement.endorse(MemberId(request.body.decodeToString()))
        return if (endorsed) HttpStatus.OK else HttpStatus.CONFLICT
    }

    private fun receiveCancellations(request: Request): Int {
        val cancellations = PeerMessageCodec.decodeCancellations(request.body) ?: return HttpStatus.BAD_REQUEST
        cancellationBroadcast.receive(cancellations)
        return HttpStatus.OK
    }

    private fun receivePeerStatus(request: Request): Int {
        val status = PeerMessageCodec.decodeStatus(request.body) ?: return HttpStatus.BAD_REQUEST
        peerStatusExchange.receive(status)
        return HttpStatus.OK
    }
}
