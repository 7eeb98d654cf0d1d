package copperglade.storage

/** How controllers share a budget according to the demand that each has announced. */
object BudgetShare {
    /** The part that is shared equally, so that a controller without recent demand can start to write. */
    private const val EQUAL_PART = 0.4

    /**
     * This controller's share, from 0 to 1.
     *
     * @param demandPerS this controller's own demand.
     * @param othersPerS the other controllers' demands; null for an unknown one, which may be as high as this controller's.
     */
    fun of(demandPerS: Double, othersPerS: List<Double?>, budgetPerS: Double): Double {
        val minimum = budgetPerS * EQUAL_PART / (othersPerS.size + 1)
        val sum = demandPerS + minimum + othersPerS.sumOf { (it ?: demandPerS) + minimum }
        return (demandPerS + minimum) / sum
    }
}
