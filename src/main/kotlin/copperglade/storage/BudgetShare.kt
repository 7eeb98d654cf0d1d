package copperglade.storage

/** Divides a budget among the controllers in proportion to the demand that each controller reports. */
object BudgetShare {
    /** The fraction of the budget that is divided equally, so that a controller without recent demand can start to write. */
    private const val EQUAL_FRACTION = 0.4

    /**
     * Returns this controller's share of the budget, from 0 to 1.
     *
     * @param demandPerSecond this controller's own demand.
     * @param othersPerSecond the other controllers' demands; null for an unknown demand, which is taken to equal this controller's.
     */
    fun of(demandPerSecond: Double, othersPerSecond: List<Double?>, budgetPerSecond: Double): Double {
        val minimum = budgetPerSecond * EQUAL_FRACTION / (othersPerSecond.size + 1)
        val sum = demandPerSecond + minimum + othersPerSecond.sumOf { (it ?: demandPerSecond) + minimum }
        return (demandPerSecond + minimum) / sum
    }
}
