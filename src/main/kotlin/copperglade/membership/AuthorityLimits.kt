package copperglade.membership

import kotlin.time.Duration

/**
 * How long a controller may act without an answer from the state service.
 *
 * @property sessionLeaseLength the duration of the session lease.
 * @property actionStalenessLimit the maximum age of the records on which this process may act at all.
 * @property startStalenessLimit the maximum age of the records on which this process may start tasks.
 */
class AuthorityLimits(val sessionLeaseLength: Duration, val actionStalenessLimit: Duration, val startStalenessLimit: Duration)
