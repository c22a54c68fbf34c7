package cacheproxy.flow;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.flow.ByteBudget.Reservation;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

class ByteBudgetTest {
    private static final int MB = 1 << 20;
    private final List<String> granted = new ArrayList<>();

    private Reservation reserveNamed(ByteBudget budget, int bytes, String name) {
        return budget.reserve(bytes, () -> granted.add(name));
    }

    @Example
    void largeValuesQueueAndSmallValuesPassThem() {
        ByteBudget budget = new ByteBudget(8 * MB);
        Reservation a = reserveNamed(budget, 4 * MB, "a");
        Reservation b = reserveNamed(budget, 4 * MB, "b");
        Reservation c = reserveNamed(budget, MB, "c");
        assertThat(a.granted()).isTrue();
        assertThat(b.granted()).isFalse();
        assertThat(c.granted())
                .as("would fit, but waits behind another large one")
                .isFalse();
        assertThat(reserveNamed(budget, ByteBudget.SMALL_VALUE_BYTES, "small").granted())
                .isTrue();
        a.release();
        assertThat(granted).containsExactly("b", "c");
    }

    @Example
    void aFractionIsReservedForSmallValues() {
        ByteBudget budget = new ByteBudget(8 * MB);
        for (int i = 0; i < 6; i++) {
            assertThat(reserveNamed(budget, MB, "large").granted()).isTrue();
        }
        assertThat(reserveNamed(budget, MB, "one more").granted()).isFalse();
        for (int i = 0; i < 32; i++) {
            assertThat(reserveNamed(budget, ByteBudget.SMALL_VALUE_BYTES, "small")
                            .granted())
                    .isTrue();
        }
        assertThat(reserveNamed(budget, 1, "full").granted()).isFalse();
    }

    @Example
    void reservationsThatCannotBeGrantedAreRejected() {
        ByteBudget budget = new ByteBudget(4 * MB);
        assertThat(budget.reserve(4 * MB, () -> {})).isNull();
        assertThat(budget.reserve(-1, () -> {})).isNull();
        Reservation all = budget.reserve(3 * MB, () -> {});
        for (int i = 0; i < ByteBudget.MAX_WAITING; i++) {
            assertThat(budget.reserve(3 * MB, () -> {})).isNotNull();
        }
        assertThat(budget.reserve(3 * MB, () -> {})).isNull();
        assertThat(all.granted()).isTrue();
    }

    @Example
    void aCancelledReservationIsNeverGranted() {
        ByteBudget budget = new ByteBudget(4 * MB);
        Reservation a = reserveNamed(budget, 3 * MB, "a");
        Reservation b = reserveNamed(budget, 3 * MB, "b");
        b.release();
        a.release();
        a.release();
        assertThat(granted).isEmpty();
        assertThat(budget.reserved()).isZero();
    }

    /**
     * Reservations and releases in any order: the budget is never exceeded, every reservation is granted eventually,
     * and nothing stays reserved.
     */
    @Property(seed = "1", tries = 1000)
    void theLimitHoldsAndEveryReservationIsGranted(
            @ForAll @Size(max = 60) List<@IntRange(min = 1, max = 3 * MB) Integer> sizes,
            @ForAll @Size(max = 60) List<@IntRange(min = 0, max = 59) Integer> releases) {
        ByteBudget budget = new ByteBudget(4 * MB);
        List<Reservation> reservations = new ArrayList<>();
        int index = 0;
        for (int bytes : sizes) {
            reservations.add(
                    budget.reserve(bytes % 3 == 0 ? bytes : 1 + bytes % ByteBudget.SMALL_VALUE_BYTES, () -> {}));
            if (index < releases.size() && releases.get(index) < reservations.size()) {
                reservations.remove((int) releases.get(index)).release();
            }
            index++;
            assertThat(budget.reserved()).isBetween(0L, 4L * MB);
        }
        while (!reservations.isEmpty()) {
            Reservation next = reservations.stream()
                    .filter(Reservation::granted)
                    .findFirst()
                    .orElse(null);
            assertThat(next).as("a granted reservation while others wait").isNotNull();
            reservations.remove(next);
            next.release();
        }
        assertThat(budget.reserved()).isZero();
        assertThat(budget.waiting()).isZero();
    }
}
