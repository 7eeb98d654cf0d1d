package copperglade.settings

import copperglade.protocol.Endpoint
import copperglade.protocol.MemberId

/** Another controller, its zone and where it listens for controllers. */
class Peer(val member: MemberId, val zone: String, val endpoint: Endpoint)
