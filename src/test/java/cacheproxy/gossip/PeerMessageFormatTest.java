package cacheproxy.gossip;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.WireSamples;
import cacheproxy.gossip.Envelope.Item;
import cacheproxy.routing.EndpointState;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** The bytes of messages between proxies, as released versions send them. */
class PeerMessageFormatTest {
    private static final String SAMPLES = "wire/peer-messages.txt";

    private static final EndpointListDelta DELTA = new EndpointListDelta(
            41,
            43,
            15_000,
            List.of(
                    new EndpointChange(43, 0x5be2a07c, EndpointState.REMOVED, 0),
                    new EndpointChange(43, 0xf2ffffff, EndpointState.DRAINING, 1_764_000_000_123.0),
                    new EndpointChange(43, 7, EndpointState.READY, 1e12)));
    private static final EndpointListDelta EMPTY_DELTA = new EndpointListDelta(0, 1L << 53, 0xffff, List.of());

    /** All kinds of messages, by the names of their samples. */
    static Map<String, byte[]> messages() {
        Map<String, byte[]> messages = new LinkedHashMap<>();
        messages.put("list-version", PeerMessage.listVersionAnnouncement(43));
        messages.put("list-query", PeerMessage.listQuery(1L << 53));
        messages.put("list-update", DELTA.encode());
        messages.put("list-update-without-servers", EMPTY_DELTA.encode());
        messages.put("server-full", PeerMessage.endpointFull(0x5be2a07c));
        messages.put("server-unresponsive", PeerMessage.endpointUnresponsive(0xf2ffffff));
        messages.put(
                "datagram-of-one", Envelope.encode(List.of(new Item(1, 0, PeerMessage.listVersionAnnouncement(43)))));
        messages.put(
                "datagram-of-four",
                Envelope.encode(List.of(
                        new Item(1, 0, DELTA.encode()),
                        new Item(4, 0, PeerMessage.endpointUnresponsive(0xf2ffffff)),
                        new Item(31, 7, new byte[0]),
                        new Item(2, 0, PeerMessage.endpointFull(7)))));
        return messages;
    }

    @Test
    void messagesAreWrittenAsRecorded() {
        assertThat(WireSamples.lines(messages())).isEqualTo(WireSamples.text(SAMPLES));
    }

    @Test
    void recordedMessagesAreRead() {
        Map<String, byte[]> samples = WireSamples.bytes(SAMPLES);
        assertThat(PeerMessage.readListVersion(samples.get("list-version"))).isEqualTo(43);
        assertThat(PeerMessage.readListQuery(samples.get("list-query"))).isEqualTo(1L << 53);
        assertThat(EndpointListDelta.decode(samples.get("list-update"))).isEqualTo(DELTA);
        assertThat(EndpointListDelta.decode(samples.get("list-update-without-servers")))
                .isEqualTo(EMPTY_DELTA);
        assertThat(PeerMessage.readEndpointFull(samples.get("server-full"))).isEqualTo(0x5be2a07c);
        assertThat(PeerMessage.readEndpointUnresponsive(samples.get("server-unresponsive")))
                .isEqualTo(0xf2ffffff);
    }

    @Test
    void recordedDatagramsAreRead() {
        Map<String, byte[]> samples = WireSamples.bytes(SAMPLES);
        List<Item> one = Envelope.decode(samples.get("datagram-of-one"));
        assertThat(one).hasSize(1);
        assertThat(one.get(0).body()).isEqualTo(samples.get("list-version"));
        List<Item> four = Envelope.decode(samples.get("datagram-of-four"));
        assertThat(four).extracting(Item::kind).containsExactly(1, 4, 31, 2);
        assertThat(four).extracting(Item::version).containsExactly(0, 0, 7, 0);
        assertThat(four.get(0).body()).isEqualTo(samples.get("list-update"));
        assertThat(four.get(1).body()).isEqualTo(samples.get("server-unresponsive"));
    }

    /** A message with a state that no released version knows is malformed. */
    @Test
    void anUnknownStateIsNotRead() {
        byte[] delta = WireSamples.bytes(SAMPLES).get("list-update");
        int state = 1 + 8 + 8 + 2 + 4;
        assertThat(delta[state]).isZero();
        for (int code : new int[] {3, 127, -1}) {
            delta[state] = (byte) code;
            assertThat(EndpointListDelta.decode(delta)).as("state %d", code).isNull();
        }
    }
}
