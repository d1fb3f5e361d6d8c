package asterpulley.serve;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/**
 * Checks the allowed dependencies between the relay's packages. Dependencies between modules are
 * enforced by the build.
 */
class DependencyRulesTest {
    private final JavaClasses relay =
            new ClassFileImporter()
                    .withImportOption(new ImportOption.DoNotIncludeTests())
                    .importPackages("asterpulley");

    @Test
    void sharedNetworkCodeDependsOnNoProtocol() {
        classes()
                .that()
                .resideInAPackage("asterpulley.net..")
                .should()
                .onlyDependOnClassesThat()
                .resideOutsideOfPackages(
                        "asterpulley.line..", "asterpulley.list..", "asterpulley.serve..")
                .check(relay);
    }

    @Test
    void lineProtocolAndServerListAreIndependent() {
        noClasses()
                .that()
                .resideInAPackage("asterpulley.line..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("asterpulley.list..", "asterpulley.serve..")
                .check(relay);
        noClasses()
                .that()
                .resideInAPackage("asterpulley.list..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("asterpulley.line..", "asterpulley.serve..")
                .check(relay);
    }

    @Test
    void activeSettingsDoNoInputOrOutput() {
        noClasses()
                .that()
                .resideInAPackage("asterpulley.settings")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "java.io..",
                        "java.net..",
                        "java.nio..",
                        "org.glassfish..",
                        "asterpulley.net..",
                        "asterpulley.line..",
                        "asterpulley.list..",
                        "asterpulley.serve..")
                .check(relay);
    }

    @Test
    void decisionsDoNoInputOrOutput() {
        noClasses()
                .that()
                .resideInAPackage("asterpulley")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "java.io..",
                        "java.net..",
                        "java.nio..",
                        "org.glassfish..",
                        "asterpulley.net..")
                .check(relay);
    }
}
