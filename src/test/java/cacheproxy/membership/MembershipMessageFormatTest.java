package cacheproxy.membership;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.WireSamples;
import cacheproxy.membership.MembershipMessage.Kind;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The bytes of membership messages, as released versions send them. */
class MembershipMessageFormatTest {
    private static final String SAMPLES = "wire/membership-messages.txt";
    private static final byte[] NO_ADDRESS = {};

    private static final List<Member> MEMBERS = List.of(
            new Member(
                    3,
                    1,
                    0xbeef,
                    MemberState.ALIVE,
                    new TreeSet<>(),
                    0,
                    0,
                    ServicePhase.STARTING,
                    Map.of(),
                    NO_ADDRESS),
            new Member(
                    0x1234,
                    300,
                    1,
                    MemberState.SUSPECT,
                    new TreeSet<>(List.of(7, 0x102)),
                    200,
                    129,
                    ServicePhase.RECOVERING,
                    Map.of(0, new byte[] {0, 0, 1, 4, 0, 0, 0, (byte) 0xf0}),
                    new byte[] {127, 0, 0, 1, 0x1f, (byte) 0x90}),
            new Member(
                    4,
                    Member.MAX_INCARNATION,
                    2,
                    MemberState.DEAD,
                    new TreeSet<>(),
                    Member.MAX_ZONE,
                    5,
                    ServicePhase.SERVING,
                    Map.of(1, new byte[] {0, 0, 0x2c}),
                    NO_ADDRESS),
            new Member(
                    Member.MAX_ID,
                    2,
                    3,
                    MemberState.LEFT,
                    new TreeSet<>(),
                    1,
                    6,
                    ServicePhase.DRAINING,
                    Map.of(2, new byte[] {9}),
                    NO_ADDRESS));

    private static MembershipMessage message(Kind kind) {
        int[] slices = kind == Kind.DIGESTS
                ? IntStream.range(0, MemberTable.SLICES).map(i -> 0xff00 + i).toArray()
                : new int[0];
        return new MembershipMessage(
                kind, 0xabcd, kind == Kind.PING_REQUEST ? 9 : MembershipMessage.NO_MEMBER, 0x89abcdef, slices, MEMBERS);
    }

    static Map<String, byte[]> messages() {
        Map<String, byte[]> messages = new LinkedHashMap<>();
        messages.put("ping", message(Kind.PING).encode());
        messages.put("ack", message(Kind.ACK).encode());
        messages.put("help", message(Kind.PING_REQUEST).encode());
        messages.put("news", message(Kind.GOSSIP).encode());
        messages.put("differ", message(Kind.DIGESTS).encode());
        messages.put("slices", message(Kind.MEMBERS).encode());
        return messages;
    }

    @Test
    void messagesEncodeAsRecorded() {
        assertThat(WireSamples.lines(messages())).isEqualTo(WireSamples.text(SAMPLES));
    }

    @ParameterizedTest
    @EnumSource
    void recordedMessagesAreDecoded(Kind kind) {
        int code = List.of(Kind.PING, Kind.ACK, Kind.PING_REQUEST, Kind.GOSSIP, Kind.DIGESTS, Kind.MEMBERS)
                .indexOf(kind);
        byte[] sample = List.copyOf(WireSamples.bytes(SAMPLES).values()).get(code);
        assertThat(sample[0]).isEqualTo((byte) code);
        MembershipMessage read = MembershipMessage.decode(sample);
        MembershipMessage written = message(kind);
        assertThat(read.kind()).isEqualTo(kind);
        assertThat(read.number()).isEqualTo(0xabcd);
        assertThat(read.target()).isEqualTo(written.target());
        assertThat(read.digest()).isEqualTo(0x89abcdef);
        assertThat(read.sliceDigests()).isEqualTo(written.sliceDigests());
        assertThat(read.members()).extracting(Member::id).containsExactly(3, 0x1234, 4, Member.MAX_ID);
        assertThat(read.members())
                .extracting(Member::state)
                .containsExactly(MemberState.ALIVE, MemberState.SUSPECT, MemberState.DEAD, MemberState.LEFT);
        assertThat(read.members())
                .extracting(Member::phase)
                .containsExactly(
                        ServicePhase.STARTING, ServicePhase.RECOVERING, ServicePhase.SERVING, ServicePhase.DRAINING);
        assertThat(read.encode()).isEqualTo(sample);
    }
}
