package copperglade.membership

import kotlin.time.Duration

/**
 * How long a controller may act without hearing from the state service.
 *
 * @property sessionLease the length of the session lease.
 * @property staleness how old the records may be for anything to be done on them.
 * @property startStaleness how old the records may be for a task to be started on them.
 */
class AuthorityLimits(val sessionLease: Duration, val staleness: Duration, val startStaleness: Duration)
