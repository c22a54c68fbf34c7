package cacheproxy.gossip;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import cacheproxy.gossip.Envelope.Item;
import cacheproxy.gossip.Outbox.Level;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class EnvelopeTest {
    private static final byte[] TWO =
            Envelope.seal(List.of(new Item(1, 0, new byte[] {0, 0, 0, 0, 0, 0, 0, 41}), new Item(31, 7, new byte[0])));

    /** The form on the wire; the test vector of the wire page. */
    @Test
    void theFormIsWhatThePageSays() {
        assertThat(HexFormat.of().formatHex(TWO))
                .startsWith("e108080000000000000029ff00")
                .hasSize(30);
        assertThat(Envelope.open(TWO)).hasSize(2).first().satisfies(i -> {
            assertThat(i.kind()).isEqualTo(1);
            assertThat(i.body()).hasSize(8).endsWith(41);
        });
    }

    @Test
    void whatIsCutOrChangedIsNothing() {
        for (int i = 0; i < TWO.length; i++) {
            assertThat(Envelope.open(Arrays.copyOf(TWO, i))).isEmpty();
            byte[] changed = TWO.clone();
            changed[i] ^= 4;
            assertThat(Envelope.open(changed)).isEmpty();
        }
        assertThatThrownBy(() -> Envelope.seal(List.of(new Item(1, 0, new byte[200]), new Item(1, 0, new byte[60]))))
                .isInstanceOf(IllegalArgumentException.class);
        assertThat(Envelope.open(Envelope.seal(List.of(new Item(1, 0, new byte[Envelope.MOST_BODY])))))
                .hasSize(1);
    }

    @Property(seed = "45", tries = 20_000)
    void noiseIsDropped(@ForAll byte[] noise) {
        Envelope.open(noise);
    }

    @Test
    void theLessUrgentLeaveRoomForTheMoreUrgent() {
        Outbox box = new Outbox(1000, 1000);
        assertThat(box.spare(0)).isEqualTo(500);
        assertThat(box.admits(0, 400, Level.THIRD)).isTrue();
        assertThat(box.admits(0, 200, Level.THIRD)).isFalse();
        assertThat(box.admits(0, 200, Level.SECOND)).isTrue();
        assertThat(box.admits(0, 200, Level.SECOND)).isFalse();
        assertThat(box.admits(0, 400, Level.FIRST)).isTrue();
        assertThat(box.admits(0, 1, Level.FIRST)).isFalse();
        assertThat(box.dropped()).isEqualTo(3);
        assertThat(box.admits(600, 100, Level.THIRD)).as("a second fills it").isTrue();
        assertThat(box.admits(100_000, 501, Level.THIRD))
                .as("and no more than it holds")
                .isFalse();
    }
}
