package copperglade.settings

import java.nio.file.Files
import java.nio.file.Path
import java.util.Properties
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The operators' own settings, beyond the file that the platform hands over. Every key is checked. */
object OperatorProperties {
    private val KEYS = setOf(
        "hold.limit.s",
        "hold.margin.s",
        "hold.part-of-lease",
        "lead.hold.s",
        "blocks.per-zone",
        "straggler.margin",
        "profiles.nearest",
        "profiles.fitting-steps",
        "profiles.fitting-rate",
        "profiles.capacity",
        "turn.after.s",
        "turn.share",
        "fleet.headroom",
        "fleet.idle.replacements",
        "fleet.fade.replacements",
        "failures.machines",
    )

    fun read(path: Path): OperatorSettings {
        val properties = Properties()
        try {
            Files.newBufferedReader(path).use(properties::load)
        } catch (_: IllegalArgumentException) {
            throw InvalidSettingException("$path: not a properties file")
        }
        return parse(properties)
    }

    fun parse(properties: Properties): OperatorSettings {
        val unknown = properties.stringPropertyNames().filter { it !in KEYS }.sorted()
        if (unknown.isNotEmpty()) throw InvalidSettingException("unknown property ${unknown.first()}")
        val reader = Reader(properties)
        val usual = OperatorSettings()
        return OperatorSettings(
            stalenessLimit = reader.seconds("hold.limit.s", usual.stalenessLimit, 1.0..600.0),
            stalenessMargin = reader.seconds("hold.margin.s", usual.stalenessMargin, 0.5..60.0),
            sessionLeaseFraction = reader.number("hold.part-of-lease", usual.sessionLeaseFraction, 0.1..10.0),
            leaderLease = reader.seconds("lead.hold.s", usual.leaderLease, 1.0..60.0),
            shardsPerZone = reader.whole("blocks.per-zone", usual.shardsPerZone, 0..64),
            stragglerFactor = reader.number("straggler.margin", usual.stragglerFactor, 1.0..100.0),
            nearestProfiles = reader.whole("profiles.nearest", usual.nearestProfiles, 1..1000),
            fittingSteps = reader.whole("profiles.fitting-steps", usual.fittingSteps, 0..100),
            fittingRate = reader.number("profiles.fitting-rate", usual.fittingRate, 0.0..1.0),
            profileCapacity = reader.whole("profiles.capacity", usual.profileCapacity, 1..100_000),
            starvationThresholdSeconds = reader.number("turn.after.s", usual.starvationThresholdSeconds, 1.0..3600.0),
            starvationShare = reader.number("turn.share", usual.starvationShare, 0.0..1.0),
            headroom = reader.number("fleet.headroom", usual.headroom, 1.0..10.0),
            idleReplacements = reader.number("fleet.idle.replacements", usual.idleReplacements, 0.0..100.0),
            scaleInHysteresisReplacements = reader.number("fleet.fade.replacements", usual.scaleInHysteresisReplacements, 0.1..100.0),
            failingJobMachineThreshold = reader.whole("failures.machines", usual.failingJobMachineThreshold, 1..1_000_000),
        )
    }

    private class Reader(private val properties: Properties) {
        fun number(key: String, usual: Double, range: ClosedFloatingPointRange<Double>): Double {
            val text = properties.getProperty(key)?.trim() ?: return usual
            return text.toDoubleOrNull()?.takeIf { it in range }
                ?: throw InvalidSettingException("$key: not a number in $range: $text")
        }

        fun whole(key: String, usual: Int, range: IntRange): Int {
            val text = properties.getProperty(key)?.trim() ?: return usual
            return text.toIntOrNull()?.takeIf { it in range }
                ?: throw InvalidSettingException("$key: not an integer in $range: $text")
        }

        fun seconds(key: String, usual: Duration, range: ClosedFloatingPointRange<Double>): Duration =
            number(key, usual.inWholeMilliseconds / 1000.0, range).seconds
    }
}
