package copperglade.settings

import copperglade.protocol.Endpoint
import copperglade.protocol.MemberId

/** Another controller: its name, its zone and the [endpoint] on which it accepts messages from other controllers. */
class Peer(val member: MemberId, val zone: String, val endpoint: Endpoint)
