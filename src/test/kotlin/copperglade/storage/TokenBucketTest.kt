package copperglade.storage

import copperglade.protocol.MonotonicTime
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class TokenBucketTest {
    @Test
    fun `takes are limited to the rate plus one burst`() {
        val bucket = TokenBucket(10.0, 1.0, MonotonicTime(0))
        var passed = 0
        for (ms in 0L..10_000L step 10) if (bucket.tryTake(1, MonotonicTime(ms))) passed++
        assertTrue(passed in 108..110, "$passed")
    }

    @Test
    fun `a large take succeeds although small takes keep the bucket from filling up`() {
        val bucket = TokenBucket(10.0, 0.8, MonotonicTime(0))
        var large = 0
        for (ms in 0L..20_000L step 100) {
            if (bucket.tryTake(20, MonotonicTime(ms))) large++
            if (ms % 500 == 0L) bucket.take(1, MonotonicTime(ms))
        }
        assertTrue(large >= 5, "$large")
    }

    @Test
    fun `a deficit is refilled before further takes succeed`() {
        val bucket = TokenBucket(10.0, 1.0, MonotonicTime(0))
        bucket.take(30, MonotonicTime(0))
        assertFalse(bucket.tryTake(1, MonotonicTime(2000)))
        assertTrue(bucket.tryTake(1, MonotonicTime(2200)))
    }
}
