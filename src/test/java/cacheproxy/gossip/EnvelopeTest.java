package cacheproxy.gossip;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import cacheproxy.gossip.Envelope.Item;
import cacheproxy.gossip.SendBudget.Priority;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class EnvelopeTest {
    private static final byte[] TWO_ITEMS = Envelope.encode(
            List.of(new Item(1, 0, new byte[] {0, 0, 0, 0, 0, 0, 0, 41}), new Item(31, 7, new byte[0])));

    /** The test vector of the wire format. */
    @Test
    void theFormatMatchesTheWireSpecification() {
        assertThat(HexFormat.of().formatHex(TWO_ITEMS))
                .startsWith("e108080000000000000029ff00")
                .hasSize(30);
        assertThat(Envelope.decode(TWO_ITEMS)).hasSize(2).first().satisfies(i -> {
            assertThat(i.kind()).isEqualTo(1);
            assertThat(i.body()).hasSize(8).endsWith(41);
        });
    }

    @Test
    void aTruncatedOrCorruptedDatagramHasNoItems() {
        for (int i = 0; i < TWO_ITEMS.length; i++) {
            assertThat(Envelope.decode(Arrays.copyOf(TWO_ITEMS, i))).isEmpty();
            byte[] corrupted = TWO_ITEMS.clone();
            corrupted[i] ^= 4;
            assertThat(Envelope.decode(corrupted)).isEmpty();
        }
        assertThatThrownBy(() -> Envelope.encode(List.of(new Item(1, 0, new byte[200]), new Item(1, 0, new byte[60]))))
                .isInstanceOf(IllegalArgumentException.class);
        assertThat(Envelope.decode(Envelope.encode(List.of(new Item(1, 0, new byte[Envelope.MAX_BODY_BYTES])))))
                .hasSize(1);
    }

    @Property(seed = "45", tries = 20_000)
    void randomBytesAreDropped(@ForAll byte[] bytes) {
        Envelope.decode(bytes);
    }

    @Test
    void lowerPrioritiesReserveCapacityForHigherOnes() {
        SendBudget budget = new SendBudget(1000, 1000);
        assertThat(budget.availableForLowPriority(0)).isEqualTo(500);
        assertThat(budget.tryAcquire(0, 400, Priority.LOW)).isTrue();
        assertThat(budget.tryAcquire(0, 200, Priority.LOW)).isFalse();
        assertThat(budget.tryAcquire(0, 200, Priority.NORMAL)).isTrue();
        assertThat(budget.tryAcquire(0, 200, Priority.NORMAL)).isFalse();
        assertThat(budget.tryAcquire(0, 400, Priority.HIGH)).isTrue();
        assertThat(budget.tryAcquire(0, 1, Priority.HIGH)).isFalse();
        assertThat(budget.droppedDatagrams()).isEqualTo(3);
        assertThat(budget.tryAcquire(600, 100, Priority.LOW))
                .as("refilled after a second")
                .isTrue();
        assertThat(budget.tryAcquire(100_000, 501, Priority.LOW))
                .as("refilled up to the capacity only")
                .isFalse();
    }
}
