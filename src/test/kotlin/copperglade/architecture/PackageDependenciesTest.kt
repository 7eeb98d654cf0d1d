package copperglade.architecture

import com.tngtech.archunit.core.domain.JavaClass
import com.tngtech.archunit.core.domain.JavaClasses
import com.tngtech.archunit.core.importer.ClassFileImporter
import com.tngtech.archunit.core.importer.ImportOption
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Checks the allowed dependencies between packages in the compiled classes. */
class PackageDependenciesTest {
    private val classes: JavaClasses = ClassFileImporter()
        .withImportOption(ImportOption.DoNotIncludeTests())
        .importPackages(ROOT)

    @Test
    fun `packages use only allowed packages`() {
        assertEquals(emptyList<String>(), forbiddenDependencies(ALLOWED))
    }

    @Test
    fun `each allowed dependency is used`() {
        val used = dependencies().mapTo(HashSet()) { it.from to it.to }
        val unused = ALLOWED.flatMap { (from, targets) -> targets.map { from to it } }.filterNot { it in used }
        assertEquals(emptyList<Any>(), unused)
    }

    @Test
    fun `the allowed dependencies have no cycle`() {
        val order = ALLOWED.keys.toList()
        val upwards = ALLOWED.flatMap { (from, targets) ->
            targets.filter { order.indexOf(it) >= order.indexOf(from) }.map { "$from -> $it" }
        }
        assertEquals(emptyList<String>(), upwards)
    }

    @Test
    fun `a dependency that is not allowed is reported`() {
        val withoutOwnership = ALLOWED + ("controller" to ALLOWED.getValue("controller") - "ownership")
        val found = forbiddenDependencies(withoutOwnership)
        assertTrue(found.isNotEmpty() && found.all { "controller -> ownership" in it }, "$found")
    }

    @Test
    fun `wire terms are declared only in the protocol package`() {
        val declared = classes
            .filterNot { packageOf(it) == "protocol" }
            .flatMap { declarations(it) }
            .filter { (_, name) -> wordsOf(name).any { it in WIRE_WORDS } }
            .map { (owner, name) -> "$owner: $name" }
        assertEquals(emptyList<String>(), declared)
    }

    @Test
    fun `names are split into words`() {
        assertEquals(listOf("parse", "truck", "name"), wordsOf("parseTruckName"))
        assertEquals(listOf("last", "tally"), wordsOf("LAST_TALLY"))
    }

    private class PackageDependency(val from: String, val to: String, val description: String)

    private fun dependencies(): List<PackageDependency> = classes.flatMap { origin ->
        origin.directDependenciesFromSelf
            .filter {
                it.targetClass.baseComponentType.packageName
                    .startsWith("$ROOT.")
            }.map { PackageDependency(packageOf(origin), packageOf(it.targetClass.baseComponentType), it.description) }
            .filter { it.from != it.to }
    }

    private fun forbiddenDependencies(allowed: Map<String, Set<String>>): List<String> = dependencies()
        .filter { it.to !in allowed[it.from].orEmpty() }
        .map { "${it.from} -> ${it.to}: ${it.description}" }

    private fun packageOf(type: JavaClass): String = type.packageName.removePrefix("$ROOT.").substringBefore('.')

    private fun declarations(type: JavaClass): List<Pair<String, String>> {
        val names = listOf(type.simpleName) + type.fields.map { it.name } + type.methods.map { it.name.substringBefore('-') }
        return names.map { type.name to it }
    }

    private fun wordsOf(name: String): List<String> = WORD.findAll(name).map { it.value.lowercase() }.toList()

    private companion object {
        const val ROOT = "copperglade"
        val WORD = Regex("[A-Z]+(?![a-z])|[A-Z]?[a-z]+")

        /** Field and path names on the wire for which the program uses a standard term. */
        val WIRE_WORDS = setOf(
            "baton",
            "boxes",
            "crew",
            "depot",
            "halt",
            "haul",
            "ledger",
            "lorry",
            "manifest",
            "permit",
            "reap",
            "shift",
            "tally",
            "trip",
            "truck",
            "unload",
            "vouch",
            "waypoint",
        )

        /** The packages that each package may use, from the lowest package to the highest. */
        val ALLOWED: Map<String, Set<String>> = linkedMapOf(
            "protocol" to setOf(),
            "transport" to setOf("protocol"),
            "settings" to setOf("protocol"),
            "storage" to setOf("protocol", "transport"),
            "prediction" to setOf("protocol"),
            "membership" to setOf("protocol", "transport", "settings", "storage"),
            "shards" to setOf("protocol", "transport", "storage", "membership"),
            "safety" to setOf("protocol", "storage", "membership"),
            "observability" to setOf("protocol", "transport", "storage", "membership", "safety"),
            "fleet" to setOf("protocol", "transport", "settings", "storage", "membership", "shards"),
            "scheduling" to setOf("protocol", "transport", "settings", "storage", "membership", "shards", "fleet"),
            "jobs" to setOf("protocol", "transport", "settings", "storage", "membership", "safety", "observability", "fleet"),
            "tasks" to setOf(
                "protocol",
                "transport",
                "storage",
                "prediction",
                "membership",
                "safety",
                "observability",
                "fleet",
            ),
            "agents" to setOf("protocol", "transport", "storage", "prediction", "membership", "safety", "observability", "fleet", "tasks"),
            "placement" to setOf(
                "protocol",
                "transport",
                "storage",
                "prediction",
                "membership",
                "safety",
                "observability",
                "fleet",
                "scheduling",
                "tasks",
                "agents",
            ),
            "ownership" to setOf(
                "protocol",
                "transport",
                "storage",
                "membership",
                "shards",
                "observability",
                "tasks",
                "agents",
                "placement",
            ),
            "controller" to setOf(
                "protocol",
                "transport",
                "settings",
                "storage",
                "prediction",
                "membership",
                "shards",
                "safety",
                "observability",
                "fleet",
                "scheduling",
                "jobs",
                "tasks",
                "ownership",
            ),
            "app" to setOf("protocol", "transport", "settings", "controller"),
        )
    }
}
