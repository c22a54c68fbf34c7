package cacheproxy.emulator;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * A value that says what it is: {@code KEY@VERSION:}, a filler that both determine, and a full stop. Anybody who reads
 * it can tell a stale value from a current one, one key's from another's, and a whole one from a spoilt or cut one.
 *
 * @param version how many writes of the key had run when the value was made; 0 before the first
 */
public record Payload(String key, long version) {

    /** After so many bytes the filler repeats: no power of two, or parts in the wrong order would look right. */
    private static final int PERIOD = 65_521;

    /** The value's bytes; {@code size} is the least length, in bytes. */
    public byte[] bytes(int size) {
        byte[] head = (key + "@" + version + ":").getBytes(StandardCharsets.ISO_8859_1);
        byte[] value = new byte[Math.max(head.length + 1, size)];
        System.arraycopy(head, 0, value, 0, head.length);
        fill(value, head.length);
        value[value.length - 1] = '.';
        return value;
    }

    /** The first period letter by letter, and the rest as copies of it, which take a tenth of the time. */
    private void fill(byte[] value, int from) {
        int end = value.length - 1;
        letters(value, from, Math.min(end, from + PERIOD));
        for (int at = from + PERIOD; at < end; at += PERIOD) {
            System.arraycopy(value, from, value, at, Math.min(PERIOD, end - at));
        }
    }

    private void letters(byte[] value, int from, int end) {
        long state = Keys.mix(key.hashCode() * 31L + version);
        for (int i = from; i < end; i++) {
            if ((i - from) % 12 == 11) {
                state = Keys.mix(state);
            }
            value[i] = (byte) ('a' + (state >>> (5 * ((i - from) % 12)) & 15));
        }
    }

    /** What the value says it is, or null if it is spoilt: no head, or a filler that isn't its own. */
    public static Payload read(byte[] value) {
        int at = -1;
        int colon = -1;
        for (int i = 0; i < value.length && colon < 0; i++) {
            if (value[i] == '@' && at < 0) {
                at = i;
            } else if (value[i] == ':') {
                colon = i;
            }
        }
        if (at < 0 || colon < at + 2 || colon - at > 20) {
            return null;
        }
        try {
            Payload payload = new Payload(
                    new String(value, 0, at, StandardCharsets.ISO_8859_1),
                    Long.parseLong(new String(value, at + 1, colon - at - 1, StandardCharsets.ISO_8859_1)));
            return Arrays.equals(value, payload.bytes(value.length)) ? payload : null;
        } catch (NumberFormatException e) {
            return null;
        }
    }
}
