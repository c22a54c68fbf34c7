package cacheproxy.config;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.config.edge.EdgeFile;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** For any text, reading terminates, mistakes have positions within the text, and formatting keeps the meaning. */
class ConfigFuzzTest {
    private static final Schema SCHEMA = EdgeFile.schema(null);

    private static void assertSurvives(String text) {
        Source source = new Source("x", text);
        Problems problems = new Problems();
        Configuration c = ConfigFile.read(source, SCHEMA, problems);
        assertThat(problems.all()).hasSizeLessThanOrEqualTo(Problems.MAX_KEPT);
        long lines = text.chars().filter(x -> x == '\n').count() + 1;
        assertThat(problems.all())
                .allMatch(p -> p.place().line() >= 1
                        && p.place().line() <= lines
                        && p.place().column() >= 1
                        && p.text().lines().count() >= 3);
        Problems syntax = new Problems();
        String formatted = ConfigFile.format(source, syntax);
        if (formatted == null) {
            assertThat(syntax.none()).isFalse();
            return;
        }
        Problems again = new Problems();
        assertThat(ConfigFile.format(new Source("y", formatted), again))
                .as(text)
                .isEqualTo(formatted);
        Problems after = new Problems();
        Configuration d = ConfigFile.read(new Source("y", formatted), SCHEMA, after);
        assertThat(after.none()).as(formatted).isEqualTo(problems.none());
        if (problems.none()) {
            assertThat(d.canonical()).isEqualTo(c.canonical());
        }
    }

    @Provide
    Arbitrary<String> soup() {
        Arbitrary<String> word = Arbitraries.of(
                "pool",
                "route",
                "policy",
                "defaults",
                "include",
                "weight",
                "site",
                "host",
                "key",
                "deadline",
                "attempts",
                "copies",
                "p",
                "q",
                "on",
                "off",
                "\"a*\"",
                "\"\"",
                "\"a",
                "\"\\n\"",
                "1s",
                "300",
                "20%",
                "5/s",
                "-1ms",
                "=",
                "{",
                "}",
                "[",
                "]",
                ",",
                "# note\n",
                "#",
                "\n",
                "\n\n",
                " ",
                "\t",
                "\r\n",
                ";",
                "'",
                "\u00e9",
                "\ud83d\ude80",
                "\0");
        return word.list().ofMaxSize(60).map(l -> String.join(" ", l));
    }

    @Property(tries = 4000, seed = "41")
    void anyWordsInAnyOrder(@ForAll("soup") String text) {
        assertSurvives(text);
    }

    @Property(tries = 1500, seed = "42")
    void anyCharacters(@ForAll String text) {
        assertSurvives(text);
    }

    /** A valid file with up to four random deletions, duplications, replacements or insertions. */
    @Property(tries = 3000, seed = "43")
    void aValidFileWithDamage(@ForAll long seed) throws IOException {
        Random random = new Random(seed);
        List<String> files = List.of("all-sections", "comments", "strings", "units", "long-lists");
        StringBuilder s = new StringBuilder(Files.readString(
                Path.of("src/test/resources/config/good", files.get(random.nextInt(files.size())) + ".conf")));
        for (int i = random.nextInt(4); i >= 0; i--) {
            int from = random.nextInt(s.length());
            int to = Math.min(s.length(), from + random.nextInt(12));
            switch (random.nextInt(4)) {
                case 0 -> s.delete(from, to);
                case 1 -> s.insert(random.nextInt(s.length()), s.substring(from, to));
                case 2 -> s.setCharAt(from, "={}[],\"#\n 1a%".charAt(random.nextInt(13)));
                default -> s.insert(from, "={}[],\"#\n 1a%".charAt(random.nextInt(13)));
            }
            if (s.isEmpty()) {
                break;
            }
        }
        assertSurvives(s.toString());
    }
}
