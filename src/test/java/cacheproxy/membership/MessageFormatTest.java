package cacheproxy.membership;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.WireSamples;
import cacheproxy.membership.Message.Kind;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The bytes of membership's messages, as released programs send them. */
class MessageFormatTest {
    private static final String SAMPLES = "wire/membership-messages.txt";
    private static final byte[] NO_ADDRESS = {};

    private static final List<Entry> ENTRIES = List.of(
            new Entry(3, 1, 0xbeef, State.ALIVE, new TreeSet<>(), 0, 0, Phase.STARTING, Map.of(), NO_ADDRESS),
            new Entry(
                    0x1234,
                    300,
                    1,
                    State.SUSPECT,
                    new TreeSet<>(List.of(7, 0x102)),
                    200,
                    129,
                    Phase.RECOVERING,
                    Map.of(0, new byte[] {0, 0, 1, 4, 0, 0, 0, (byte) 0xf0}),
                    new byte[] {127, 0, 0, 1, 0x1f, (byte) 0x90}),
            new Entry(
                    4,
                    Entry.MAX_INCARNATION,
                    2,
                    State.DEAD,
                    new TreeSet<>(),
                    Entry.MAX_ZONE,
                    5,
                    Phase.SERVING,
                    Map.of(1, new byte[] {0, 0, 0x2c}),
                    NO_ADDRESS),
            new Entry(
                    Entry.MAX_ID,
                    2,
                    3,
                    State.LEFT,
                    new TreeSet<>(),
                    1,
                    6,
                    Phase.DRAINING,
                    Map.of(2, new byte[] {9}),
                    NO_ADDRESS));

    private static Message message(Kind kind) {
        int[] slices = kind == Kind.DIFFER
                ? IntStream.range(0, Table.SLICES).map(i -> 0xff00 + i).toArray()
                : new int[0];
        return new Message(kind, 0xabcd, kind == Kind.HELP ? 9 : Message.NOBODY, 0x89abcdef, slices, ENTRIES);
    }

    static Map<String, byte[]> messages() {
        Map<String, byte[]> messages = new LinkedHashMap<>();
        messages.put("ping", message(Kind.PING).encode());
        messages.put("ack", message(Kind.ACK).encode());
        messages.put("help", message(Kind.HELP).encode());
        messages.put("news", message(Kind.NEWS).encode());
        messages.put("differ", message(Kind.DIFFER).encode());
        messages.put("slices", message(Kind.SLICES).encode());
        return messages;
    }

    @Test
    void messagesAreWrittenAsRecorded() {
        assertThat(WireSamples.lines(messages())).isEqualTo(WireSamples.text(SAMPLES));
    }

    @ParameterizedTest
    @EnumSource
    void recordedMessagesAreRead(Kind kind) {
        int code = List.of(Kind.PING, Kind.ACK, Kind.HELP, Kind.NEWS, Kind.DIFFER, Kind.SLICES)
                .indexOf(kind);
        byte[] sample = List.copyOf(WireSamples.bytes(SAMPLES).values()).get(code);
        assertThat(sample[0]).isEqualTo((byte) code);
        Message read = Message.decode(sample);
        Message written = message(kind);
        assertThat(read.kind()).isEqualTo(kind);
        assertThat(read.number()).isEqualTo(0xabcd);
        assertThat(read.target()).isEqualTo(written.target());
        assertThat(read.digest()).isEqualTo(0x89abcdef);
        assertThat(read.slices()).isEqualTo(written.slices());
        assertThat(read.entries()).extracting(Entry::id).containsExactly(3, 0x1234, 4, Entry.MAX_ID);
        assertThat(read.entries())
                .extracting(Entry::state)
                .containsExactly(State.ALIVE, State.SUSPECT, State.DEAD, State.LEFT);
        assertThat(read.entries())
                .extracting(Entry::phase)
                .containsExactly(Phase.STARTING, Phase.RECOVERING, Phase.SERVING, Phase.DRAINING);
        assertThat(read.encode()).isEqualTo(sample);
    }
}
