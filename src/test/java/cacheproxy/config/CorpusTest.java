package cacheproxy.config;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.config.edge.EdgeFile;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Invalid files, each with its expected messages at the end ({@code #= LINE:COLUMN MESSAGE || FIX}), and valid files
 * whose meaning must survive formatting and reordering.
 */
class CorpusTest {
    private static final Path BROKEN = Path.of("src/test/resources/config/broken");
    private static final Path GOOD = Path.of("src/test/resources/config/good");
    private static final Schema SCHEMA = EdgeFile.schema(null);
    private static final Pattern COMMENT = Pattern.compile("#[^\n\r]*");

    private static List<Path> files(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            return files.filter(Files::isRegularFile).sorted().toList();
        }
    }

    static Stream<Path> good() throws IOException {
        return files(GOOD).stream().filter(f -> !f.getParent().endsWith("parts"));
    }

    private static String reported(Problems problems) {
        StringBuilder s = new StringBuilder();
        for (Problem p : problems.all()) {
            s.append(p.place().line())
                    .append(':')
                    .append(p.place().column())
                    .append(' ')
                    .append(p.message().replace(BROKEN + "/", ""))
                    .append(" || ")
                    .append(p.fix())
                    .append('\n');
        }
        return s.toString();
    }

    @TestFactory
    Stream<DynamicTest> eachMistakeIsReportedWithItsPositionAndFix() throws IOException {
        List<Path> files = files(BROKEN);
        assertThat(files).hasSizeGreaterThan(200);
        return files.stream()
                .map(file -> DynamicTest.dynamicTest(file.getFileName().toString(), () -> {
                    StringBuilder expected = new StringBuilder();
                    new String(Files.readAllBytes(file), StandardCharsets.UTF_8)
                            .lines()
                            .filter(l -> l.startsWith("#= "))
                            .forEach(l -> expected.append(l.substring(3)).append('\n'));
                    Problems problems = new Problems();
                    ConfigFile.read(file, SCHEMA, problems);
                    assertThat(expected).isNotEmpty();
                    assertThat(reported(problems)).isEqualTo(expected.toString());
                    assertThat(problems.all())
                            .allMatch(p -> p.fix() != null
                                    && p.place()
                                            .source()
                                            .name()
                                            .endsWith(file.getFileName().toString()));
                    assertThat(problems.text().lines().filter(l -> l.endsWith("^")))
                            .hasSameSizeAs(problems.all());
                }));
    }

    private static String reportedFor(String text) {
        Problems problems = new Problems();
        ConfigFile.read(new Source("x", text), SCHEMA, problems);
        return reported(problems);
    }

    @Test
    void tenThousandNestedBracesAreReportedOnceWithoutStackOverflow() {
        assertThat(reportedFor("pool p " + "{ a ".repeat(10_000)).lines())
                .hasSize(2)
                .last()
                .asString()
                .startsWith("1:72 blocks nest more than 16 deep");
        assertThat(reportedFor("pool p " + "{ ".repeat(10_000) + "}".repeat(10_000))
                        .lines())
                .hasSizeLessThan(20);
        assertThat(reportedFor("pool p { site = " + "[".repeat(10_000))).contains("a list within a list");
        assertThat(reportedFor("}".repeat(10_000)).lines()).hasSize(Problems.MAX_KEPT);
    }

    @Test
    void mistakesBeyondTheMaximumAreOnlyCounted() {
        Problems problems = new Problems();
        ConfigFile.read(new Source("x", "wrong {}\n".repeat(5000)), SCHEMA, problems);
        assertThat(problems.all()).hasSize(Problems.MAX_KEPT);
        assertThat(problems.text()).endsWith("and " + (5000 - Problems.MAX_KEPT) + " more\n");
    }

    // ---- valid files

    private static Configuration meaning(Path file) {
        Problems problems = new Problems();
        Configuration c = ConfigFile.read(file, SCHEMA, problems);
        assertThat(problems.text()).isEmpty();
        return c;
    }

    private static Configuration meaning(String text) {
        Problems problems = new Problems();
        Configuration c = ConfigFile.read(new Source("x", text), SCHEMA, problems);
        assertThat(problems.text()).isEmpty();
        return c;
    }

    static String format(String text) {
        Problems problems = new Problems();
        String formatted = ConfigFile.format(new Source("x", text), problems);
        assertThat(problems.text()).isEmpty();
        return formatted;
    }

    private static List<String> comments(String text) {
        List<String> all = new ArrayList<>();
        Matcher m = COMMENT.matcher(text);
        while (m.find()) {
            all.add(m.group().stripTrailing());
        }
        Collections.sort(all);
        return all;
    }

    @ParameterizedTest
    @MethodSource("good")
    void formattingIsIdempotentAndKeepsMeaningAndComments(Path file) throws IOException {
        String text = Files.readString(file);
        String once = format(text);
        assertThat(format(once)).isEqualTo(once);
        assertThat(comments(once)).isEqualTo(comments(text));
        Path copy = Files.createTempFile(file.toAbsolutePath().getParent(), "formatted", ".conf");
        try {
            Files.writeString(copy, once);
            assertThat(meaning(copy).canonical()).isEqualTo(meaning(file).canonical());
            assertThat(Difference.between(meaning(copy), meaning(file))).isEmpty();
        } finally {
            Files.delete(copy);
        }
    }

    /** Shuffles everything whose order is irrelevant: entries, attributes, nested blocks and list values. */
    private static String shuffled(Syntax.Document document, Random random) {
        List<Syntax.Item> items = shuffled(document.items(), random);
        return Formatter.format(new Syntax.Document(document.source(), items, document.closing()));
    }

    private static List<Syntax.Item> shuffled(List<Syntax.Item> items, Random random) {
        List<Syntax.Item> shuffled = new ArrayList<>();
        for (Syntax.Item item : items) {
            if (item instanceof Syntax.Block b) {
                shuffled.add(new Syntax.Block(
                        b.place(),
                        b.comments(),
                        b.name(),
                        b.labels(),
                        shuffled(b.items(), random),
                        b.opening(),
                        b.closing()));
            } else if (item instanceof Syntax.Attribute a && a.value() instanceof Syntax.Listing l) {
                List<Syntax.Element> elements = new ArrayList<>(l.elements());
                Collections.shuffle(elements, random);
                shuffled.add(new Syntax.Attribute(
                        a.place(), a.comments(), a.name(), new Syntax.Listing(l.place(), elements, l.closing())));
            } else {
                shuffled.add(item);
            }
        }
        Collections.shuffle(shuffled, random);
        return shuffled;
    }

    @ParameterizedTest
    @MethodSource("good")
    void reorderingMakesNoDifference(Path file) throws IOException {
        Problems problems = new Problems();
        Syntax.Document document = Parser.parse(new Source(file.toString(), Files.readString(file)), problems);
        Configuration before = meaning(file);
        for (int seed = 0; seed < 50; seed++) {
            Path copy = Files.createTempFile(file.toAbsolutePath().getParent(), "shuffled", ".conf");
            try {
                Files.writeString(copy, shuffled(document, new Random(seed)));
                Configuration after = meaning(copy);
                assertThat(Difference.between(before, after)).isEmpty();
                assertThat(after.hash()).isEqualTo(before.hash());
            } finally {
                Files.delete(copy);
            }
        }
    }

    @Test
    void unitsIncludesAndDefaultsMakeNoDifference() throws IOException {
        Configuration units = meaning(GOOD.resolve("units.conf"));
        List<Configuration.Entry> policies = units.of("policy");
        assertThat(policies)
                .extracting(p -> p.canonical().substring(p.title().length()))
                .hasSize(3)
                .containsOnly(policies.get(0)
                        .canonical()
                        .substring(policies.get(0).title().length()));
        assertThat(Difference.between(
                        meaning(GOOD.resolve("including.conf")), meaning(GOOD.resolve("including-flat.conf"))))
                .isEmpty();
        String routes =
                "pool p {} route a { key = \"a\" pool = p policy = y } route b { key = \"b\" pool = p policy = z }";
        assertThat(Difference.between(
                        meaning("defaults policy { attempts = 2 deadline = 1s } policy y { deadline = 60s } policy z {}"
                                + routes),
                        meaning("policy y { attempts = 2 deadline = 1m } policy z { deadline = 1000ms attempts = 2 }"
                                + routes)))
                .isEmpty();
    }

    @Test
    void effectiveConfigurationCanBeReadBackWithTheSameMeaning() throws IOException {
        for (Path file : good().toList()) {
            Configuration c = meaning(file);
            assertThat(meaning(ConfigFile.effective(c)).canonical()).isEqualTo(c.canonical());
        }
    }

    @Test
    void theShippedExampleIsValidAndFormatted() throws IOException {
        Path example = Path.of("deploy/edge.conf");
        assertThat(meaning(example).of("route")).hasSize(3);
        assertThat(format(Files.readString(example))).isEqualTo(Files.readString(example));
    }
}
