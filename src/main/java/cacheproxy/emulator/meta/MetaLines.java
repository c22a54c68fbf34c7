package cacheproxy.emulator.meta;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.TooLongFrameException;
import java.nio.charset.StandardCharsets;

/** Lines, lengths and flags: what both directions of the protocol have in common. */
final class MetaLines {
    /** The longest line that is read, in bytes. */
    static final int MAX_LINE = 4096;
    /** The longest value that is read, in bytes. */
    static final int MAX_VALUE = 4 << 20;

    private MetaLines() {}

    /** Takes a line off the input, without its end; null while it is not all there. */
    static String take(ByteBuf in) {
        int length = in.bytesBefore((byte) '\n');
        if (length < 0 ? in.readableBytes() > MAX_LINE : length > MAX_LINE) {
            throw new TooLongFrameException("line of more than " + MAX_LINE + " bytes");
        }
        if (length < 0) {
            return null;
        }
        String line = in.readCharSequence(length, StandardCharsets.ISO_8859_1).toString();
        in.skipBytes(1);
        return line.endsWith("\r") ? line.substring(0, line.length() - 1) : line;
    }

    /** Takes the two bytes behind a value; false if they are not CR LF. */
    static boolean ends(ByteBuf in) {
        return in.readShort() == ('\r' << 8 | '\n');
    }

    /** A value's length in bytes, or -1 if the word is none. */
    static int length(String word) {
        if (word.isEmpty() || word.length() > 7 || !word.chars().allMatch(c -> c >= '0' && c <= '9')) {
            return -1;
        }
        int n = Integer.parseInt(word);
        return n <= MAX_VALUE ? n : -1;
    }

    /** The flag that begins with this letter among the words from {@code from} on, without it; null if none does. */
    static String flag(String[] words, int from, char letter) {
        for (int i = from; i < words.length; i++) {
            if (!words[i].isEmpty() && words[i].charAt(0) == letter) {
                return words[i].substring(1);
            }
        }
        return null;
    }
}
