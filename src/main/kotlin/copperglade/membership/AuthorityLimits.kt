package copperglade.membership

import kotlin.time.Duration

/**
 * How long a controller may act without hearing from the state service.
 *
 * @property sessionLeaseLength the length of the session lease.
 * @property actionStalenessLimit how old the records may be for anything to be done on them.
 * @property startStalenessLimit how old the records may be for a task to be started on them.
 */
class AuthorityLimits(val sessionLeaseLength: Duration, val actionStalenessLimit: Duration, val startStalenessLimit: Duration)
