package asterpulley.lab.fleet;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** Checks which packages the classes of the lab may depend on. */
class DependencyRulesTest {
    private final JavaClasses lab =
            new ClassFileImporter()
                    .withImportOption(new ImportOption.DoNotIncludeTests())
                    .importPackages("asterpulley.lab");

    @Test
    void onlySimulatedRelaysDependOnRelayCode() {
        noClasses()
                .that()
                .haveNameNotMatching("asterpulley\\.lab\\.fleet\\.SimulatedRelay(sMain)?(\\$.*)?")
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
    void calculationsDoNoInputOrOutput() {
        noClasses()
                .that()
                .haveSimpleName("Schedule")
                .or()
                .haveSimpleName("PropagationTracker")
                .or()
                .haveSimpleName("LinearFit")
                .or()
                .haveSimpleName("ProcessPlan")
                .or()
                .haveSimpleName("ServerCatalog")
                .or()
                .haveSimpleName("TrafficCounters")
                .or()
                .haveSimpleName("SettingsHistory")
                .or()
                .haveSimpleName("TunnelArrivals")
                .or()
                .haveSimpleName("FleetFigures")
                .or()
                .haveSimpleName("FleetResult")
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
