package damsonworks.member;

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

class EntryTest {
    /** What an instance says of itself hangs on its life, incarnation and version alone, as nobody else writes it. */
    @Provide
    static Arbitrary<Entry> entries() {
        return Combinators.combine(Arbitraries.longs().between(1, 3), Arbitraries.integers().between(0, 2),
                Arbitraries.of(State.class), Arbitraries.integers().between(0, 9).set().ofMaxSize(4),
                Arbitraries.integers().between(0, 2)).as((incarnation, life, state, by, version) -> new Entry(7, incarnation,
                        life, state, new TreeSet<>(state == State.SUSPECT ? by : List.of()), 1, version,
                        Phase.values()[version], Map.of(version, new byte[] {version.byteValue()}), new byte[0]));
    }

    @Property(seed = "41", tries = 2000)
    void entriesAreASemilattice(@ForAll("entries") Entry a, @ForAll("entries") Entry b, @ForAll("entries") Entry c) {
        assertThat(a.join(a)).isEqualTo(a);
        assertThat(a.join(b)).isEqualTo(b.join(a));
        assertThat(a.join(b).join(c)).isEqualTo(a.join(b.join(c)));
        assertThat(a.join(b).compareLife(a)).isNotNegative();
        assertThat(a.join(b).join(a)).isEqualTo(a.join(b));
    }

    @Property(seed = "42", tries = 500)
    void tablesThatHeardTheSameHaveOneDigest(@ForAll("entries") Entry a, @ForAll("entries") Entry b, @ForAll("entries") Entry c) {
        Table one = new Table(10);
        Table other = new Table(10);
        List.of(a, b, c).forEach(one::join);
        List.of(c, a, b, a).forEach(other::join);
        assertThat(one.digest()).isEqualTo(other.digest());
        assertThat(one.digest(Table.slice(7))).isEqualTo(other.digest(Table.slice(7)));
    }

    @Property(seed = "43", tries = 1000)
    void aMessageIsReadAsItWasWritten(@ForAll("entries") Entry a, @ForAll("entries") Entry b, @ForAll Message.Kind kind) {
        Message m = new Message(kind, 65_535, 3, -5, new int[kind == Message.Kind.DIFFER ? Table.SLICES : 0], List.of(a, b));
        byte[] bytes = m.encode();
        Message read = Message.decode(bytes);
        assertThat(read.entries()).isEqualTo(m.entries());
        assertThat(read.kind()).isEqualTo(kind);
        assertThat(read.number()).isEqualTo(65_535);
        assertThat(read.digest()).isEqualTo(-5);
        for (int i = 0; i < bytes.length; i++) {
            assertThat(Message.decode(Arrays.copyOf(bytes, i))).as("cut to %d bytes", i).isNull();
        }
    }

    /** Whatever comes in is read or dropped, and nothing is thrown. */
    @Property(seed = "44", tries = 20_000)
    void noiseIsDropped(@ForAll byte[] noise) {
        Message.decode(noise);
    }
}
