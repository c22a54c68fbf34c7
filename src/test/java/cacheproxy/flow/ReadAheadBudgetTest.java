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
class ReadAheadBudgetTest {
    private static final int SHARED = 100_000;

    @Test
    void eachConnectionHasSomeOfItsOwnWhateverOthersTake() {
        ReadAheadBudget all = new ReadAheadBudget(SHARED);
        assertThat(all.newReservation().tryReserve(ReadAheadBudget.OWN_BYTES_PER_CONNECTION + SHARED - 1))
                .isTrue();
        ReadAheadBudget.Reservation late = all.newReservation();
        assertThat(late.tryReserve(ReadAheadBudget.OWN_BYTES_PER_CONNECTION - 1))
                .isTrue();
        assertThat(late.tryReserve(ReadAheadBudget.OWN_BYTES_PER_CONNECTION + 2))
                .isFalse();
    }

    @Test
    void whatIsReleasedIsAnothersToTake() {
        ReadAheadBudget all = new ReadAheadBudget(SHARED);
        ReadAheadBudget.Reservation first = all.newReservation();
        first.tryReserve(ReadAheadBudget.OWN_BYTES_PER_CONNECTION + SHARED - 1);
        first.release();
        assertThat(all.reserved()).isZero();
        assertThat(all.newReservation().tryReserve(ReadAheadBudget.OWN_BYTES_PER_CONNECTION + 2))
                .isTrue();
    }

    @Test
    void oneConnectionHasABoundWhateverIsFree() {
        ReadAheadBudget all = new ReadAheadBudget(1L << 30);
        assertThat(all.newReservation().tryReserve(ReadAheadBudget.MAX_BYTES_PER_CONNECTION - 1))
                .isTrue();
        assertThat(all.newReservation().tryReserve(ReadAheadBudget.MAX_BYTES_PER_CONNECTION))
                .isFalse();
    }

    @Property(tries = 200)
    void allTogetherNeverTakeMoreThanThereIs(
            @ForAll @Size(max = 50) List<@IntRange(min = 0, max = 600_000) Integer> waiting) {
        ReadAheadBudget all = new ReadAheadBudget(SHARED);
        List<ReadAheadBudget.Reservation> parts = new ArrayList<>();
        for (int bytes : waiting) {
            if (parts.size() < 5) {
                parts.add(all.newReservation());
            }
            parts.get(bytes % parts.size()).tryReserve(bytes);
            assertThat(all.reserved()).isBetween(0L, (long) SHARED);
        }
        parts.forEach(ReadAheadBudget.Reservation::release);
        assertThat(all.reserved()).isZero();
    }
}
