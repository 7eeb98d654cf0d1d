package copperglade.storage

/**
 * The order in which transactions receive write budget.
 *
 * @property reserve the fill level that the write budget must have, from 0 to 1, before a transaction is sent. The number of assignments
 *   depends on the available budget. Without a reserve, outcomes and clean-up would exhaust it and block all but urgent assignments.
 */
enum class WritePriority(val reserve: Double) { LEASE(0.0), USER(0.0), ASSIGNMENT(0.0), OUTCOME(0.1), CLEANUP(0.6) }
