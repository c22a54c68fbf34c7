package cacheproxy.emulator;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * A self-describing value: {@code KEY@VERSION:}, a filler derived from both, and a full stop. A reader can detect a
 * stale value, a value of another key, and a corrupted or truncated one.
 *
 * @param version the number of writes of the key before the value was created; 0 before the first
 */
public record Payload(String key, long version) {

    /** The filler's period in bytes. Not a power of two, as value chunks in the wrong order would go undetected. */
    private static final int PERIOD = 65_521;

    /** The value's bytes; {@code size} is the minimum length. */
    public byte[] bytes(int size) {
        byte[] head = (key + "@" + version + ":").getBytes(StandardCharsets.ISO_8859_1);
        byte[] value = new byte[Math.max(head.length + 1, size)];
        System.arraycopy(head, 0, value, 0, head.length);
        fill(value, head.length);
        value[value.length - 1] = '.';
        return value;
    }

    /** Generates the first period and copies it for the rest, which takes a tenth of the time of generating all. */
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

    /** Parses a value; returns null if it is corrupted, as its header is invalid or its filler does not match. */
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
