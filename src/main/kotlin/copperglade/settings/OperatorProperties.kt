package copperglade.settings

import java.nio.file.Files
import java.nio.file.Path
import java.util.Properties
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Reads the operators' properties. Unknown keys and values out of range cause an [InvalidSettingException] that names the key. */
object OperatorProperties {
    private const val MILLIS_PER_SECOND = 1000.0
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

    /** Reads the properties file at [path]; throws [java.io.IOException] where the file can't be read. */
    fun read(path: Path): OperatorSettings {
        val properties = Properties()
        try {
            Files.newBufferedReader(path).use(properties::load)
        } catch (_: IllegalArgumentException) {
            throw InvalidSettingException("$path: not a Java properties file (malformed Unicode escape)")
        }
        return parse(properties)
    }

    /** Reads [properties]; a missing key takes the default of [OperatorSettings]. */
    fun parse(properties: Properties): OperatorSettings {
        val unknown = properties.stringPropertyNames().filter { it !in KEYS }.sorted()
        if (unknown.isNotEmpty()) throw InvalidSettingException("unknown property ${unknown.first()}")
        val reader = Reader(properties)
        val defaults = OperatorSettings()
        return OperatorSettings(
            stalenessLimit = reader.seconds("hold.limit.s", defaults.stalenessLimit, 1.0..600.0),
            stalenessMargin = reader.seconds("hold.margin.s", defaults.stalenessMargin, 0.5..60.0),
            sessionLeaseFraction = reader.number("hold.part-of-lease", defaults.sessionLeaseFraction, 0.1..10.0),
            leaderLease = reader.seconds("lead.hold.s", defaults.leaderLease, 1.0..60.0),
            shardsPerZone = reader.integer("blocks.per-zone", defaults.shardsPerZone, 0..64),
            stragglerFactor = reader.number("straggler.margin", defaults.stragglerFactor, 1.0..100.0),
            nearestProfileCount = reader.integer("profiles.nearest", defaults.nearestProfileCount, 1..1000),
            fittingSteps = reader.integer("profiles.fitting-steps", defaults.fittingSteps, 0..100),
            fittingRate = reader.number("profiles.fitting-rate", defaults.fittingRate, 0.0..1.0),
            profileCapacity = reader.integer("profiles.capacity", defaults.profileCapacity, 1..100_000),
            starvationThresholdSeconds = reader.number("turn.after.s", defaults.starvationThresholdSeconds, 1.0..3600.0),
            starvationShare = reader.number("turn.share", defaults.starvationShare, 0.0..1.0),
            headroomFactor = reader.number("fleet.headroom", defaults.headroomFactor, 1.0..10.0),
            minIdleReplacementTimes = reader.number("fleet.idle.replacements", defaults.minIdleReplacementTimes, 0.0..100.0),
            scaleInHysteresisReplacementTimes = reader.number(
                "fleet.fade.replacements",
                defaults.scaleInHysteresisReplacementTimes,
                0.1..100.0,
            ),
            failingJobMachineThreshold = reader.integer("failures.machines", defaults.failingJobMachineThreshold, 1..1_000_000),
        )
    }

    /** Reads single values and checks their ranges. */
    private class Reader(private val properties: Properties) {
        fun number(key: String, default: Double, range: ClosedFloatingPointRange<Double>): Double {
            val text = properties.getProperty(key)?.trim() ?: return default
            return text.toDoubleOrNull()?.takeIf { it in range }
                ?: throw InvalidSettingException("$key: expected a number in $range, got: $text")
        }

        fun integer(key: String, default: Int, range: IntRange): Int {
            val text = properties.getProperty(key)?.trim() ?: return default
            return text.toIntOrNull()?.takeIf { it in range }
                ?: throw InvalidSettingException("$key: expected an integer in $range, got: $text")
        }

        fun seconds(key: String, default: Duration, range: ClosedFloatingPointRange<Double>): Duration =
            number(key, default.inWholeMilliseconds / MILLIS_PER_SECOND, range).seconds
    }
}
