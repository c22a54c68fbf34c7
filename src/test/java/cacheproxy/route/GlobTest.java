package cacheproxy.route;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

class GlobTest {
    /** All texts of up to five characters over two letters. */
    private static final List<String> TEXTS = texts();

    private static List<String> texts() {
        List<String> all = new ArrayList<>(List.of(""));
        for (int i = 0; i < all.size() && all.get(i).length() < 5; i++) {
            all.add(all.get(i) + "a");
            all.add(all.get(i) + "b");
        }
        return all;
    }

    @Provide
    Arbitrary<Glob> globs() {
        return Arbitraries.strings()
                .withChars("ab*?")
                .ofMinLength(1)
                .ofMaxLength(5)
                .filter(s -> !s.contains("**"))
                .map(Glob::new);
    }

    @Property(tries = 2000, seed = "51")
    void matchesAsTheRegularExpressionDoes(@ForAll("globs") Glob glob) {
        Pattern regex = Pattern.compile(glob.toString().replace("?", ".").replace("*", ".*"));
        for (String text : TEXTS) {
            assertThat(glob.matches(text))
                    .as(glob + " " + text)
                    .isEqualTo(regex.matcher(text).matches());
        }
    }

    /**
     * Two overlapping patterns of up to five characters share a text of at most nine. Only texts of up to five are
     * tried, so a missing common text shows nothing unless the literals of both patterns fit into five characters.
     */
    @Property(tries = 2000, seed = "52")
    void patternsOverlapIfThereIsATextThatBothMatch(@ForAll("globs") Glob a, @ForAll("globs") Glob b) {
        boolean shown = TEXTS.stream().anyMatch(t -> a.matches(t) && b.matches(t));
        assertThat(a.overlaps(b)).isEqualTo(b.overlaps(a));
        if (shown) {
            assertThat(a.overlaps(b)).as(a + " " + b).isTrue();
        }
        int least = (int) a.toString().chars().filter(c -> c != '*').count()
                + (int) b.toString().chars().filter(c -> c != '*').count();
        if (least <= 5 && a.overlaps(b)) { // then the shortest common text has at most five characters
            assertThat(shown).as(a + " " + b).isTrue();
        }
    }

    @Test
    void aLongPatternIsMatchedInBoundedTime() {
        Glob glob = new Glob("a*".repeat(100) + "b");
        assertThat(glob.matches("a".repeat(5000))).isFalse();
    }

    @Test
    void anInvalidPatternIsRejectedWithItsReason() {
        assertThatThrownBy(() -> new Glob("")).hasMessageContaining("empty");
        assertThatThrownBy(() -> new Glob("a**")).hasMessageContaining("two asterisks");
        assertThatThrownBy(() -> new Glob("a".repeat(Glob.MAX_LENGTH + 1))).hasMessageContaining("256");
    }
}
