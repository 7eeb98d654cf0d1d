/** A request budget: so many a second, with bursts of some seconds' worth. */
final class Budget {
    private final double perSecond;
    private final double capacity;
    private double tokens;
    private long updatedNanos = System.nanoTime();

    Budget(double perSecond, double burstSeconds) {
        this.perSecond = perSecond;
        capacity = perSecond * burstSeconds;
        tokens = capacity;
    }

    synchronized boolean take(int count) {
        long now = System.nanoTime();
        tokens = Math.min(capacity, tokens + (now - updatedNanos) / 1e9 * perSecond);
        updatedNanos = now;
        if (tokens < count) return false;
        tokens -= count;
        return true;
    }
}
