package cacheproxy.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

class MemberTest {
    /**
     * What an instance publishes about itself depends only on its process, incarnation and version, as no other
     * instance writes it.
     */
    @Provide
    static Arbitrary<Member> members() {
        return Combinators.combine(
                        Arbitraries.longs().between(1, 3),
                        Arbitraries.integers().between(0, 2),
                        Arbitraries.of(MemberState.class),
                        Arbitraries.integers().between(0, 9).set().ofMaxSize(4),
                        Arbitraries.integers().between(0, 2))
                .as((incarnation, processNonce, state, confirmers, version) -> new Member(
                        7,
                        incarnation,
                        processNonce,
                        state,
                        new TreeSet<>(state == MemberState.SUSPECT ? confirmers : List.of()),
                        1,
                        version,
                        ServicePhase.values()[version],
                        Map.of(version, new byte[] {version.byteValue()}),
                        new byte[0]));
    }

    @Property(seed = "41", tries = 2000)
    void membersFormASemilattice(
            @ForAll("members") Member a, @ForAll("members") Member b, @ForAll("members") Member c) {
        assertThat(a.merge(a)).isEqualTo(a);
        assertThat(a.merge(b)).isEqualTo(b.merge(a));
        assertThat(a.merge(b).merge(c)).isEqualTo(a.merge(b.merge(c)));
        assertThat(a.merge(b).compareIncarnation(a)).isNotNegative();
        assertThat(a.merge(b).merge(a)).isEqualTo(a.merge(b));
    }

    @Property(seed = "42", tries = 500)
    void tablesWithTheSameMembersHaveTheSameDigest(
            @ForAll("members") Member a, @ForAll("members") Member b, @ForAll("members") Member c) {
        MemberTable one = new MemberTable(10);
        MemberTable other = new MemberTable(10);
        List.of(a, b, c).forEach(one::merge);
        List.of(c, a, b, a).forEach(other::merge);
        assertThat(one.digest()).isEqualTo(other.digest());
        assertThat(one.digest(MemberTable.slice(7))).isEqualTo(other.digest(MemberTable.slice(7)));
    }

    @Property(seed = "43", tries = 1000)
    void messagesRoundTrip(
            @ForAll("members") Member a, @ForAll("members") Member b, @ForAll MembershipMessage.Kind kind) {
        MembershipMessage m = new MembershipMessage(
                kind,
                65_535,
                3,
                -5,
                new int[kind == MembershipMessage.Kind.DIGESTS ? MemberTable.SLICES : 0],
                List.of(a, b));
        byte[] bytes = m.encode();
        MembershipMessage read = MembershipMessage.decode(bytes);
        assertThat(read.members()).isEqualTo(m.members());
        assertThat(read.kind()).isEqualTo(kind);
        assertThat(read.number()).isEqualTo(65_535);
        assertThat(read.digest()).isEqualTo(-5);
        for (int i = 0; i < bytes.length; i++) {
            assertThat(MembershipMessage.decode(Arrays.copyOf(bytes, i)))
                    .as("cut to %d bytes", i)
                    .isNull();
        }
    }

    /** Any received bytes are decoded or dropped, and nothing is thrown. */
    @Property(seed = "44", tries = 20_000)
    void randomBytesAreDropped(@ForAll byte[] bytes) {
        MembershipMessage.decode(bytes);
    }

    /** Zones below 128 take one byte, as in released versions. */
    @Test
    void zonesOfOneAndTwoBytesRoundTrip() {
        for (int zone : new int[] {0, 127, 128, 255, 256, 1023, Member.MAX_ZONE}) {
            Member e = Member.start(1023, 1, 7, zone, new byte[0]);
            byte[] bytes = new MembershipMessage(
                            MembershipMessage.Kind.GOSSIP, 0, MembershipMessage.NO_MEMBER, 0, new int[0], List.of(e))
                    .encode();
            assertThat(MembershipMessage.decode(bytes).members()).containsExactly(e);
            assertThat(bytes)
                    .hasSize(MembershipMessage.headerBytes(MembershipMessage.Kind.GOSSIP)
                            + MembershipMessage.memberBytes(e));
            assertThat(bytes.length).isEqualTo(zone < 128 ? 18 : 19);
        }
    }

    @Test
    void zoneOutOfRangeIsRejected() {
        Member e = Member.start(5, 1, 7, Member.MAX_ZONE, new byte[0]);
        byte[] bytes = new MembershipMessage(
                        MembershipMessage.Kind.GOSSIP, 0, MembershipMessage.NO_MEMBER, 0, new int[0], List.of(e))
                .encode();
        int zoneAt = MembershipMessage.headerBytes(MembershipMessage.Kind.GOSSIP) + 3;
        assertThat(bytes[zoneAt + 1]).isEqualTo((byte) 0x7f);
        byte[] beyond = new byte[bytes.length + 1];
        System.arraycopy(bytes, 0, beyond, 0, zoneAt + 1);
        beyond[zoneAt + 1] = (byte) 0x80;
        beyond[zoneAt + 2] = 1;
        System.arraycopy(bytes, zoneAt + 2, beyond, zoneAt + 3, bytes.length - zoneAt - 2);
        assertThat(MembershipMessage.decode(beyond)).isNull();
    }
}
