package copperglade.storage

/** How controllers share a budget according to the demand that each has announced. */
object BudgetShare {
    /** The part that is shared equally, so that a controller without recent demand can start to write. */
    private const val EQUAL_FRACTION = 0.4

    /**
     * This controller's share, from 0 to 1.
     *
     * @param demandPerSecond this controller's own demand.
     * @param othersPerSecond the other controllers' demands; null for an unknown one, which may be as high as this controller's.
     */
    fun of(demandPerSecond: Double, othersPerSecond: List<Double?>, budgetPerSecond: Double): Double {
        val minimum = budgetPerSecond * EQUAL_FRACTION / (othersPerSecond.size + 1)
        val sum = demandPerSecond + minimum + othersPerSecond.sumOf { (it ?: demandPerSecond) + minimum }
        return (demandPerSecond + minimum) / sum
    }
}
