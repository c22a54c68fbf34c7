package cacheproxy.emulator;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;

class PayloadTest {
    @Property(tries = 300, seed = "7")
    void aValueSaysWhatItIs(
            @ForAll @LongRange(min = 0, max = 1000) long key,
            @ForAll @LongRange(min = 0) long version,
            @ForAll @IntRange(min = 0, max = 2000) int size) {
        Payload payload = new Payload(Keys.key(key), version);
        assertThat(payload.bytes(size)).hasSizeGreaterThanOrEqualTo(size);
        assertThat(Payload.read(payload.bytes(size))).isEqualTo(payload);
    }

    @Property(tries = 300, seed = "7")
    void oneChangedByteIsSeen(@ForAll @IntRange(min = 0, max = 199) int at, @ForAll byte other) {
        Payload payload = new Payload(Keys.key(5), 12);
        byte[] value = payload.bytes(200);
        boolean same = value[at] == other;
        value[at] = other;
        assertThat(Payload.read(value)).isEqualTo(same ? payload : null);
    }

    @Property(tries = 100, seed = "7")
    void aCutValueIsSeen(@ForAll @IntRange(min = 1, max = 199) int cut) {
        byte[] value = new Payload(Keys.key(5), 12).bytes(200);
        assertThat(Payload.read(Arrays.copyOf(value, value.length - cut))).isNull();
    }

    /** Emulates a proxy that puts a chunk of a long value at the wrong offset. */
    @Property(tries = 50, seed = "7")
    void partsInTheWrongOrderAreSeen(
            @ForAll @IntRange(min = 1, max = 62) int from, @ForAll @IntRange(min = 0, max = 62) int to) {
        byte[] value = new Payload(Keys.key(5), 12).bytes(4 << 20);
        assertThat(Payload.read(value)).isEqualTo(new Payload(Keys.key(5), 12));
        byte[] mixed = value.clone();
        int part = 64 << 10;
        System.arraycopy(value, from * part, mixed, to * part, part);
        assertThat(Payload.read(mixed)).isEqualTo(from == to ? new Payload(Keys.key(5), 12) : null);
    }

    @Property(tries = 500, seed = "7")
    void noiseIsNoValueAndNoCrash(@ForAll @Size(max = 60) byte[] noise) {
        assertThat(Payload.read(noise)).isNull();
    }
}
