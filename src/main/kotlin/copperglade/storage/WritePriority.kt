package copperglade.storage

/**
 * The order in which transactions get write budget.
 *
 * @property reserve how full the budget must be, from 0 to 1, for a transaction to be sent. The number of assignments follows from what
 *   could be written at once, so that without a reserve outcomes and clean-up would use up the budget and stop all but urgent assignments.
 */
enum class WritePriority(val reserve: Double) { LEASE(0.0), USER(0.0), ASSIGNMENT(0.0), OUTCOME(0.1), CLEANUP(0.6) }
