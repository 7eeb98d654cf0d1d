package copperglade.storage

import copperglade.protocol.MonotonicTime
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class TokenBucketTest {
    @Test
    fun `no more passes than the rate and one burst allow`() {
        val bucket = TokenBucket(10.0, 1.0, MonotonicTime(0))
        var passed = 0
        for (ms in 0L..10_000L step 10) if (bucket.tryTake(1, MonotonicTime(ms))) passed++
        assertTrue(passed in 108..110, "$passed")
    }

    @Test
    fun `a large taker gets its turn although small ones never let the bucket fill up`() {
        val bucket = TokenBucket(10.0, 0.8, MonotonicTime(0))
        var large = 0
        for (ms in 0L..20_000L step 100) {
            if (bucket.tryTake(20, MonotonicTime(ms))) large++
            if (ms % 500 == 0L) bucket.take(1, MonotonicTime(ms))
        }
        assertTrue(large >= 5, "$large")
    }

    @Test
    fun `what was taken beyond the budget is paid for first`() {
        val bucket = TokenBucket(10.0, 1.0, MonotonicTime(0))
        bucket.take(30, MonotonicTime(0))
        assertFalse(bucket.tryTake(1, MonotonicTime(2000)))
        assertTrue(bucket.tryTake(1, MonotonicTime(2200)))
    }
}
