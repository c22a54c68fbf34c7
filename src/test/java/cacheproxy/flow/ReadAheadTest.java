package cacheproxy.flow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** What clients' connections may have read ahead, each and together. */
class ReadAheadTest {
    private static final int SHARED = 100_000;

    @Test
    void eachConnectionHasSomeOfItsOwnWhateverOthersTake() {
        ReadAhead all = new ReadAhead(SHARED);
        assertThat(all.part().mayReadOn(ReadAhead.OWN_BYTES + SHARED - 1)).isTrue();
        ReadAhead.Part late = all.part();
        assertThat(late.mayReadOn(ReadAhead.OWN_BYTES - 1)).isTrue();
        assertThat(late.mayReadOn(ReadAhead.OWN_BYTES + 2)).isFalse();
    }

    @Test
    void whatIsReleasedIsAnothersToTake() {
        ReadAhead all = new ReadAhead(SHARED);
        ReadAhead.Part first = all.part();
        first.mayReadOn(ReadAhead.OWN_BYTES + SHARED - 1);
        first.release();
        assertThat(all.used()).isZero();
        assertThat(all.part().mayReadOn(ReadAhead.OWN_BYTES + 2)).isTrue();
    }

    @Test
    void oneConnectionHasABoundWhateverIsFree() {
        ReadAhead all = new ReadAhead(1L << 30);
        assertThat(all.part().mayReadOn(ReadAhead.MAX_BYTES - 1)).isTrue();
        assertThat(all.part().mayReadOn(ReadAhead.MAX_BYTES)).isFalse();
    }

    @Property(tries = 200)
    void allTogetherNeverTakeMoreThanThereIs(
            @ForAll @Size(max = 50) List<@IntRange(min = 0, max = 600_000) Integer> waiting) {
        ReadAhead all = new ReadAhead(SHARED);
        List<ReadAhead.Part> parts = new ArrayList<>();
        for (int bytes : waiting) {
            if (parts.size() < 5) {
                parts.add(all.part());
            }
            parts.get(bytes % parts.size()).mayReadOn(bytes);
            assertThat(all.used()).isBetween(0L, (long) SHARED);
        }
        parts.forEach(ReadAhead.Part::release);
        assertThat(all.used()).isZero();
    }
}
