package copperglade.architecture

import com.tngtech.archunit.core.importer.ClassFileImporter
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.nio.file.Files
import java.nio.file.Path

/** Checks that the class and package names in `docs/architecture.md` and `docs/packages.md` exist, and that no package is missing. */
class ArchitecturePageTest {
    private val classes = ClassFileImporter().importPackages("copperglade")
    private val simpleNames = classes.mapTo(HashSet()) { it.simpleName }
    private val packages = classes.mapTo(HashSet()) { it.packageName }
    private val page = Files.readString(Path.of("docs/architecture.md"))

    @Test
    fun `each class and package on the architecture page exists`() {
        assertEquals(emptyList<String>(), unknownNames(page))
    }

    @Test
    fun `each package is on the architecture page`() {
        val production = ClassFileImporter().importPath(Path.of("target/classes")).mapTo(HashSet()) { it.packageName }
        assertEquals(emptyList<String>(), production.filterNot { "`$it`" in page })
    }

    @Test
    fun `a name that does not exist is reported`() {
        val names = unknownNames("`Controller` and `NoSuchClass` in `copperglade.app` and `copperglade.none`, `cg/now/lead`, `audit`")
        assertEquals(listOf("NoSuchClass", "copperglade.none"), names)
    }

    @Test
    fun `the architecture page names more than 30 classes`() {
        assertTrue(CLASS_NAME.findAll(page).count() > 30)
    }

    @Test
    fun `each package has a paragraph on the packages page`() {
        val paragraphs = Files.readAllLines(Path.of("docs/packages.md")).filter { it.startsWith(PACKAGE_HEADING) }
        val production = ClassFileImporter().importPath(Path.of("target/classes")).mapTo(HashSet()) { it.packageName }
        assertEquals(production, paragraphs.mapTo(HashSet()) { it.removePrefix(PACKAGE_HEADING) })
    }

    private fun unknownNames(text: String): List<String> {
        val unknownClasses = CLASS_NAME.findAll(text).map { it.groupValues[1] }.filter { it !in simpleNames }
        val unknownPackages = PACKAGE_NAME.findAll(text).map { it.groupValues[1] }.filter { it !in packages }
        return (unknownClasses + unknownPackages).toList()
    }

    private companion object {
        const val PACKAGE_HEADING = "# Package "
        val CLASS_NAME = Regex("`([A-Z][a-z]+[A-Za-z]*)`")
        val PACKAGE_NAME = Regex("`(copperglade\\.[a-z]+)`")
    }
}
