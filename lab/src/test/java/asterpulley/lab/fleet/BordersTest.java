package asterpulley.lab.fleet;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** The borders within the laboratory. */
class BordersTest {
    private final JavaClasses lab =
            new ClassFileImporter()
                    .withImportOption(new ImportOption.DoNotIncludeTests())
                    .importPackages("asterpulley.lab");

    @Test
    void onlyHollowRelaysShareCodeWithTheRelay() {
        noClasses()
                .that()
                .haveNameNotMatching("asterpulley\\.lab\\.fleet\\.Hollow(Main)?(\\$.*)?")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "asterpulley.net..",
                        "asterpulley.line..",
                        "asterpulley.list..",
                        "asterpulley.serve..",
                        "asterpulley.door..")
                .check(lab);
    }

    @Test
    void whatIsWorkedOutDoesNoInputOrOutput() {
        noClasses()
                .that()
                .haveSimpleName("Schedule")
                .or()
                .haveSimpleName("InForce")
                .or()
                .haveSimpleName("Fit")
                .or()
                .haveSimpleName("Room")
                .or()
                .haveSimpleName("Catalog")
                .or()
                .haveSimpleName("Tally")
                .or()
                .haveSimpleName("Revisions")
                .or()
                .haveSimpleName("Arrivals")
                .or()
                .haveSimpleName("FleetFigures")
                .or()
                .haveSimpleName("FleetOutcome")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "java.io..",
                        "java.net..",
                        "java.nio.channels..",
                        "java.nio.file..",
                        "asterpulley.lab.sock..")
                .check(lab);
    }
}
