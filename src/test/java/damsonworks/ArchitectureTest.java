package damsonworks;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.nio.channels.FileChannel;
import org.junit.jupiter.api.Test;

/** Who may know whom, and where no I/O may be. */
class ArchitectureTest {
    private static final JavaClasses ALL = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("damsonworks");

    private static final String[] IO = {
        "io.netty..", "java.net..", "java.nio..", "java.io..", "sun..", "java.util.concurrent.."
    };

    @Test
    void decisionsDoNoInputOrOutputAndReadNoClock() {
        noClasses()
                .that()
                .haveFullyQualifiedName("damsonworks.Policy")
                .or()
                .haveFullyQualifiedName("damsonworks.Carp")
                .or()
                .haveFullyQualifiedName("damsonworks.RoutingApi")
                .or()
                .resideInAnyPackage(
                        "damsonworks.drain..",
                        "damsonworks.route..",
                        "damsonworks.takeover..",
                        "damsonworks.flow..",
                        "damsonworks.permit..",
                        "damsonworks.roster..",
                        "damsonworks.ledger..",
                        "damsonworks.figures..",
                        "damsonworks.quota..",
                        "damsonworks.hotkey..",
                        "damsonworks.evidence..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(IO)
                .orShould()
                .dependOnClassesThat()
                .haveFullyQualifiedName("java.lang.Thread")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .check(ALL);
    }

    /** Bytes in memory are not input or output. */
    @Test
    void whatInstancesTellEachOtherIsDecidedWithoutSocketsOrClocks() {
        noClasses()
                .that()
                .resideInAnyPackage(
                        "damsonworks.member..", "damsonworks.peer..", "damsonworks.zone..", "damsonworks.recovery..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "io.netty..",
                        "java.net..",
                        "java.nio.channels..",
                        "java.nio.file..",
                        "java.io..",
                        "java.util.concurrent..",
                        "damsonworks.proxy..",
                        "damsonworks.fleet..",
                        "damsonworks.model..",
                        "damsonworks.cli..")
                .orShould()
                .dependOnClassesThat()
                .haveFullyQualifiedName("java.lang.Thread")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .check(ALL);
    }

    /** Only what owns the folder touches it, and what decides of it reads no clock. */
    @Test
    void whatIsKeptIsDecidedApartFromFiles() {
        noClasses()
                .that()
                .resideInAPackage("damsonworks.state..")
                .and()
                .doNotHaveFullyQualifiedName("damsonworks.state.StateFolder")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "io.netty..",
                        "java.net..",
                        "java.nio.channels..",
                        "java.nio.file..",
                        "java.io..",
                        "java.util.concurrent..",
                        "damsonworks.proxy..",
                        "damsonworks.cli..")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .check(ALL);
        noClasses()
                .that()
                .resideInAPackage("damsonworks.proxy..")
                .should()
                .callMethod(FileChannel.class, "force", boolean.class)
                .check(ALL);
    }

    @Test
    void theLanguageKnowsNoSubsystemAndOnlyItsLoaderReadsFiles() {
        noClasses()
                .that()
                .resideInAPackage("damsonworks.config")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "damsonworks",
                        "damsonworks.proxy..",
                        "damsonworks.route..",
                        "damsonworks.config.edge..",
                        "damsonworks.cli..")
                .check(ALL);
        noClasses()
                .that()
                .resideInAPackage("damsonworks.config")
                .and()
                .haveNameNotMatching("damsonworks\\.config\\.(Loader|ConfigFile)(\\$.*)?")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("java.io..", "java.nio.file..", "java.net..")
                .check(ALL);
        noClasses()
                .that()
                .resideInAnyPackage("damsonworks.proxy..", "damsonworks.route..", "damsonworks.drain..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("damsonworks.config..")
                .check(ALL);
        noClasses()
                .that()
                .resideInAPackage("damsonworks.route..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("damsonworks.proxy..")
                .check(ALL);
    }

    @Test
    void theModelsOfStandInsAndLoadDoNoInputOrOutput() {
        noClasses()
                .that()
                .haveNameMatching("damsonworks\\.fleet\\.(Oracle|ServiceModel|ColdStart|LruStore|Roster|"
                        + "FaultScript|Fault|Payload|Keys|TrafficClass|FleetSpec)(\\$.*)?")
                .or()
                .haveNameMatching("damsonworks\\.load\\.(Shape|Zipf|SyntheticWorkload|Planned)(\\$.*)?")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("io.netty..", "java.net..", "java.io..")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .check(ALL);
    }

    /** The same seed gives the same run on any machine. */
    @Test
    void theModelOfTheFleetDoesNoInputOrOutputAndReadsNoClock() {
        noClasses()
                .that()
                .resideInAPackage("damsonworks.model..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(IO)
                .orShould()
                .dependOnClassesThat()
                .resideInAnyPackage("damsonworks.proxy..", "damsonworks.cli..", "damsonworks.demo..")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .check(ALL);
    }

    @Test
    void theProxyKnowsNothingOfTheTools() {
        noClasses()
                .that()
                .resideInAnyPackage("damsonworks.proxy..", "damsonworks.wire..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "damsonworks.fleet..",
                        "damsonworks.load..",
                        "damsonworks.demo..",
                        "damsonworks.model..",
                        "damsonworks.cli..",
                        "picocli..",
                        "org.HdrHistogram..")
                .check(ALL);
    }

    @Test
    void standInsKnowTheProtocolAndNotTheProxy() {
        noClasses()
                .that()
                .resideInAPackage("damsonworks.fleet..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "damsonworks",
                        "damsonworks.proxy..",
                        "damsonworks.wire..",
                        "damsonworks.load..",
                        "damsonworks.demo..",
                        "damsonworks.model..",
                        "damsonworks.cli..")
                .check(ALL);
        noClasses()
                .that()
                .resideInAPackage("damsonworks.load..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "damsonworks",
                        "damsonworks.proxy..",
                        "damsonworks.wire..",
                        "damsonworks.demo..",
                        "damsonworks.cli..")
                .check(ALL);
        noClasses()
                .that()
                .resideInAPackage("damsonworks.demo..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("damsonworks", "damsonworks.proxy..", "damsonworks.wire..", "damsonworks.cli..")
                .check(ALL);
    }

    /** What hears of servers knows nothing of requests. */
    @Test
    void discoveryKnowsNothingOfTheCore() {
        noClasses()
                .that()
                .resideInAPackage("damsonworks.proxy.discovery")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("damsonworks.proxy")
                .check(ALL);
    }

    @Test
    void onlyTheMainClassKnowsTheCommandLine() {
        classes()
                .that()
                .resideInAPackage("damsonworks.cli..")
                .should()
                .onlyHaveDependentClassesThat()
                .resideInAnyPackage("damsonworks", "damsonworks.cli..")
                .check(ALL);
    }
}
