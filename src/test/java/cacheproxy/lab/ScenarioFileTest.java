package cacheproxy.lab;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.config.Problems;
import cacheproxy.emulator.Fault;
import cacheproxy.emulator.LinkFault;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ScenarioFileTest {
    private static final String FLEET = "fleet {\n  zones = [a, b, c]\n  proxies = 10\n  nodes = 6\n}\n";

    @TempDir
    private Path folder;

    private Problems problems;

    private ScenarioFile read(String text) throws IOException {
        problems = new Problems();
        return ScenarioFile.read(Files.writeString(folder.resolve("x.conf"), text), problems);
    }

    @Test
    void whatStandsInTheLabIsRight() throws IOException {
        try (Stream<Path> files = Files.list(Path.of("lab"))) {
            List<Path> all = files.filter(f -> f.toString().endsWith(".conf")).toList();
            assertThat(all).hasSizeGreaterThan(5).allSatisfy(f -> {
                Problems found = new Problems();
                ScenarioFile.read(f, found);
                assertThat(found.text()).isEmpty();
            });
        }
    }

    @Test
    void aCutIsFromAllThatIsNotInItOrFromWhatIsNamed() throws IOException {
        List<LinkFault> links = read(FLEET + "fault \"one\" {\n at = 1s\n for = 2s\n cut = [zone-a]\n}\n"
                        + "fault \"two\" {\n at = 1s\n for = 2s\n cut = [zone-a]\n from = [zone-b]\n one-way = on\n}\n")
                .scenario(1)
                .links();
        assertThat(problems.text()).isEmpty();
        assertThat(links.get(0).at())
                .containsExactlyInAnyOrder("proxy-0", "proxy-3", "proxy-6", "proxy-9", "node-0", "node-3");
        assertThat(links.get(0).from())
                .contains("origin", "discovery", "proxy-1", "node-5")
                .hasSize(12);
        assertThat(links.get(1).from()).containsExactlyInAnyOrder("proxy-1", "proxy-4", "proxy-7", "node-1", "node-4");
        assertThat(links.get(1).oneWay()).isTrue();
    }

    @Test
    void theSameSeedDrawsTheSameProxiesAndAnotherOthers() throws IOException {
        ScenarioFile file =
                read(FLEET + "fault \"die\" {\n at = 1s\n kill = [proxy-*]\n share = 70%\n state = cut-short\n"
                        + " every = 5s\n times = 3\n again-after = 250ms\n}\n");
        List<Fault> faults = file.scenario(1).faults();
        assertThat(faults).hasSize(21).allMatch(f -> f.forMs() == 250 && f.state() == Fault.State.CUT_SHORT);
        assertThat(faults).extracting(Fault::atMs).containsOnly(1000.0, 6000.0, 11_000.0);
        assertThat(file.scenario(1).faults()).isEqualTo(faults);
        assertThat(file.scenario(2).faults()).isNotEqualTo(faults);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "at = 1s | a fault that does nothing | name what it does, as cut = [zone-a] or kill = [proxy-*]",
                "at = 1s; cut = [zone-a] | a fault without an end | say how long it lasts, as for = 6s",
                "at = 1s; for = 1s; cut = [zone-x] | 'zone-x' is no part of this fleet | proxy-0 to proxy-9, proxy-*, node-0 to node-5, "
                        + "node-*, zone-a, zone-b, zone-c, origin, discovery",
                "at = 1s; kill = [node-1] | kill does not go with node-1 | kill is for: proxy",
                "at = 1s; for = 1s; link = [proxy-*] | nothing happens on this link | say what, as lose = 50% or delay = 30ms",
                "at = 1s; for = 1s; link = [node-1]; lose = 1% | one part alone has no link | name the other end, as from = [proxy-*]",
                "at = 1s; kill = [proxy-1]; times = 2 | how far apart is not said | say it, as every = 5s",
                "at = 1s; kill = [proxy-1]; from = [zone-a] | from belongs to cut or link | leave it out"
            })
    void aMistakeIsToldWithItsFix(String fault, String message, String fix) throws IOException {
        read(FLEET + "fault \"x\" {\n" + fault.replace(";", "\n") + "\n}\n");
        assertThat(problems.all()).singleElement().satisfies(p -> {
            assertThat(p.message()).isEqualTo(message);
            assertThat(p.fix()).isEqualTo(fix);
        });
    }
}
