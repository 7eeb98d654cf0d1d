package copperglade.observability

import copperglade.transport.EventLoop
import copperglade.transport.HttpStatus
import copperglade.transport.Reply
import copperglade.transport.Responder
import org.HdrHistogram.Histogram
import org.slf4j.LoggerFactory
import kotlin.time.Duration.Companion.seconds

/** How long users wait for our answers; logged once a minute. */
class RequestLatency(private val loop: EventLoop, private val what: String) {
    private val histogram = Histogram(MAX_MS, DIGITS)
    private var turnedAway = 0

    fun start() {
        loop.after(INTERVAL) {
            report()
            start()
        }
    }

    /** A responder that also takes the time. */
    fun timed(responder: Responder): Responder {
        val began = loop.now()
        return Responder { reply: Reply ->
            histogram.recordValue((loop.now().ms - began.ms).coerceIn(0, MAX_MS))
            if (reply.status == HttpStatus.SERVICE_UNAVAILABLE) turnedAway++
            responder.send(reply)
        }
    }

    private fun report() {
        if (histogram.totalCount == 0L) return
        log.info(
            "{}: {} answers, {} of them 503, p50 {} ms, p99 {} ms, worst {} ms",
            what,
            histogram.totalCount,
            turnedAway,
            histogram.getValueAtPercentile(50.0),
            histogram.getValueAtPercentile(99.0),
            histogram.maxValue,
        )
        histogram.reset()
        turnedAway = 0
    }

    private companion object {
        const val MAX_MS = 60_000L
        const val DIGITS = 2
        val INTERVAL = 60.seconds
        val log = LoggerFactory.getLogger("users")
    }
}
