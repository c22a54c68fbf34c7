package cacheproxy;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.assertj.core.api.Assertions.assertThat;

import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Checks the dependencies between packages and which packages must not perform I/O. */
class ArchitectureTest {
    private static final JavaClasses ALL = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("cacheproxy");

    private static final String[] IO = {
        "io.netty..", "java.net..", "java.nio..", "java.io..", "sun..", "java.util.concurrent.."
    };

    /** After a package is renamed, a rule with its old name would pass without checking anything. */
    @Test
    void everyPackageNamedHereHasClasses() throws Exception {
        String source = Files.readString(Path.of("src/test/java/cacheproxy/ArchitectureTest.java"));
        Set<String> packages = ALL.stream().map(JavaClass::getPackageName).collect(Collectors.toSet());
        List<String> named = Pattern.compile("\"(cacheproxy(\\.[a-z]+)*)(\\.\\.)?\"")
                .matcher(source)
                .results()
                .map(name -> name.group(1))
                .distinct()
                .toList();
        assertThat(named).hasSizeGreaterThan(20).isSubsetOf(packages);
    }

    /** The same check for classes that are named individually in rules. */
    @Test
    void everyClassNamedHereExists() throws Exception {
        String source = Files.readString(Path.of("src/test/java/cacheproxy/ArchitectureTest.java"));
        Set<String> classes = ALL.stream().map(JavaClass::getName).collect(Collectors.toSet());
        List<String> named = Pattern.compile("\"(cacheproxy\\.([a-z]+\\.)*[A-Z]\\w+)\"")
                .matcher(source)
                .results()
                .map(name -> name.group(1))
                .distinct()
                .toList();
        assertThat(named).isNotEmpty().isSubsetOf(classes);
    }

    @Test
    void decisionsDoNoInputOrOutputAndReadNoClock() {
        noClasses()
                .that()
                .resideInAnyPackage(
                        "cacheproxy.routing..",
                        "cacheproxy.backoff..",
                        "cacheproxy.drain..",
                        "cacheproxy.route..",
                        "cacheproxy.takeover..",
                        "cacheproxy.flow..",
                        "cacheproxy.admission..",
                        "cacheproxy.endpoints..",
                        "cacheproxy.metrics..",
                        "cacheproxy.quota..")
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

    /** Buffers in memory are allowed, because they are not I/O. */
    @Test
    void fleetCoordinationUsesNoSocketsOrClocks() {
        noClasses()
                .that()
                .resideInAnyPackage(
                        "cacheproxy.membership..",
                        "cacheproxy.gossip..",
                        "cacheproxy.failover..",
                        "cacheproxy.recovery..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "io.netty..",
                        "java.net..",
                        "java.nio.channels..",
                        "java.nio.file..",
                        "java.io..",
                        "java.util.concurrent..",
                        "cacheproxy.proxy..",
                        "cacheproxy.emulator..",
                        "cacheproxy.model..",
                        "cacheproxy.cli..")
                .orShould()
                .dependOnClassesThat()
                .haveFullyQualifiedName("java.lang.Thread")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .check(ALL);
    }

    /** Only the owner of the state folder accesses files, and the decisions about stored state read no clock. */
    @Test
    void onlyTheStateFolderAccessesFiles() {
        noClasses()
                .that()
                .resideInAPackage("cacheproxy.state..")
                .and()
                .doNotHaveFullyQualifiedName("cacheproxy.state.StateFolder")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "io.netty..",
                        "java.net..",
                        "java.nio.channels..",
                        "java.nio.file..",
                        "java.io..",
                        "java.util.concurrent..",
                        "cacheproxy.proxy..",
                        "cacheproxy.cli..")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .check(ALL);
        noClasses()
                .that()
                .resideInAPackage("cacheproxy.proxy..")
                .should()
                .callMethod(FileChannel.class, "force", boolean.class)
                .check(ALL);
    }

    @Test
    void theConfigLanguageDependsOnNoSubsystemAndOnlyItsLoaderReadsFiles() {
        noClasses()
                .that()
                .resideInAPackage("cacheproxy.config")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "cacheproxy",
                        "cacheproxy.routing..",
                        "cacheproxy.proxy..",
                        "cacheproxy.route..",
                        "cacheproxy.config.edge..",
                        "cacheproxy.cli..")
                .check(ALL);
        noClasses()
                .that()
                .resideInAPackage("cacheproxy.config")
                .and()
                .haveNameNotMatching("cacheproxy\\.config\\.(Loader|ConfigFile)(\\$.*)?")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("java.io..", "java.nio.file..", "java.net..")
                .check(ALL);
        noClasses()
                .that()
                .resideInAnyPackage("cacheproxy.proxy..", "cacheproxy.route..", "cacheproxy.drain..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("cacheproxy.config..")
                .check(ALL);
        noClasses()
                .that()
                .resideInAPackage("cacheproxy.route..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("cacheproxy.proxy..")
                .check(ALL);
    }

    @Test
    void emulatorAndLoadModelsDoNoInputOrOutput() {
        noClasses()
                .that()
                .haveNameMatching("cacheproxy\\.fleet\\.(Oracle|ServiceModel|ColdStart|LruStore|HostList|"
                        + "FaultScript|Fault|Payload|Keys|TrafficClass|FleetSpec)(\\$.*)?")
                .or()
                .haveNameMatching("cacheproxy\\.load\\.(Shape|Zipf|SyntheticWorkload|Planned)(\\$.*)?")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("io.netty..", "java.net..", "java.io..")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .check(ALL);
    }

    /** The same seed must give the same run on any machine. */
    @Test
    void theFleetModelDoesNoInputOrOutputAndReadsNoClock() {
        noClasses()
                .that()
                .resideInAPackage("cacheproxy.model..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(IO)
                .orShould()
                .dependOnClassesThat()
                .resideInAnyPackage("cacheproxy.proxy..", "cacheproxy.cli..", "cacheproxy.demo..")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .check(ALL);
    }

    @Test
    void theProxyDoesNotDependOnTheTools() {
        noClasses()
                .that()
                .resideInAnyPackage("cacheproxy.proxy..", "cacheproxy.simulator..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "cacheproxy.emulator..",
                        "cacheproxy.load..",
                        "cacheproxy.demo..",
                        "cacheproxy.model..",
                        "cacheproxy.cli..",
                        "picocli..",
                        "org.HdrHistogram..")
                .check(ALL);
    }

    @Test
    void emulatorLoadAndDemoDoNotDependOnTheProxy() {
        noClasses()
                .that()
                .resideInAPackage("cacheproxy.emulator..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "cacheproxy",
                        "cacheproxy.routing..",
                        "cacheproxy.proxy..",
                        "cacheproxy.simulator..",
                        "cacheproxy.load..",
                        "cacheproxy.demo..",
                        "cacheproxy.model..",
                        "cacheproxy.cli..")
                .check(ALL);
        noClasses()
                .that()
                .resideInAPackage("cacheproxy.load..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "cacheproxy",
                        "cacheproxy.routing..",
                        "cacheproxy.proxy..",
                        "cacheproxy.simulator..",
                        "cacheproxy.demo..",
                        "cacheproxy.cli..")
                .check(ALL);
        noClasses()
                .that()
                .resideInAPackage("cacheproxy.demo..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "cacheproxy",
                        "cacheproxy.routing..",
                        "cacheproxy.proxy..",
                        "cacheproxy.simulator..",
                        "cacheproxy.cli..")
                .check(ALL);
    }

    /** Discovery provides the endpoint list and must not depend on request handling. */
    @Test
    void discoveryDoesNotDependOnTheCore() {
        noClasses()
                .that()
                .resideInAPackage("cacheproxy.proxy.discovery")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("cacheproxy.proxy")
                .check(ALL);
    }

    /** The I/O packages around the core declare their own interfaces, which the core implements. */
    @Test
    void upstreamProtocolAndPeersDoNotDependOnTheCore() {
        noClasses()
                .that()
                .resideInAnyPackage(
                        "cacheproxy.proxy.upstream..", "cacheproxy.proxy.protocol..", "cacheproxy.proxy.peer..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("cacheproxy.proxy", "cacheproxy.proxy.client..", "cacheproxy.proxy.lifecycle..")
                .check(ALL);
    }

    /** Startup and shutdown depend on the rest of the proxy, not the other way round. */
    @Test
    void coreClientsAndDiscoveryDoNotDependOnTheLifecycle() {
        noClasses()
                .that()
                .resideInAnyPackage("cacheproxy.proxy", "cacheproxy.proxy.client..", "cacheproxy.proxy.discovery..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("cacheproxy.proxy.lifecycle..")
                .check(ALL);
    }

    @Test
    void onlyTheMainClassDependsOnTheCommandLine() {
        classes()
                .that()
                .resideInAPackage("cacheproxy.cli..")
                .should()
                .onlyHaveDependentClassesThat()
                .resideInAnyPackage("cacheproxy", "cacheproxy.cli..")
                .check(ALL);
    }
}
