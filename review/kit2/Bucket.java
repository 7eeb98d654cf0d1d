/** A rate limit with a burst. */
final class Bucket {
    private final double perSecond;
    private final double capacity;
    private double tokens;
    private long refilledAt = System.nanoTime();

    Bucket(double perSecond, double burstSeconds) {
        this.perSecond = perSecond;
        this.capacity = perSecond * burstSeconds;
        this.tokens = capacity;
    }

    synchronized boolean take(int count) {
        long now = System.nanoTime();
        tokens = Math.min(capacity, tokens + perSecond * (now - refilledAt) / 1e9);
        refilledAt = now;
        if (tokens < count) return false;
        tokens -= count;
        return true;
    }
}
