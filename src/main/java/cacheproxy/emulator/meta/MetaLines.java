package cacheproxy.emulator.meta;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.TooLongFrameException;
import java.nio.charset.StandardCharsets;

/** Parsing of lines, lengths and flags, shared by both directions of the protocol. */
final class MetaLines {
    /** The maximum length of a line, in bytes. */
    static final int MAX_LINE = 4096;
    /** The maximum length of a value, in bytes. */
    static final int MAX_VALUE = 4 << 20;

    private MetaLines() {}

    /** Consumes a line and returns it without its terminator; null while it is incomplete. */
    static String readLine(ByteBuf in) {
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

    /** Consumes the two bytes that follow a value; returns false if they are not CR LF. */
    static boolean readLineEnd(ByteBuf in) {
        return in.readShort() == ('\r' << 8 | '\n');
    }

    /** Parses a value's length in bytes; -1 if it is invalid or above {@link #MAX_VALUE}. */
    static int length(String word) {
        if (word.isEmpty() || word.length() > 7 || !word.chars().allMatch(c -> c >= '0' && c <= '9')) {
            return -1;
        }
        int n = Integer.parseInt(word);
        return n <= MAX_VALUE ? n : -1;
    }

    /** Returns the argument of the first flag with this letter, searching from index {@code from}; null if absent. */
    static String flag(String[] words, int from, char letter) {
        for (int i = from; i < words.length; i++) {
            if (!words[i].isEmpty() && words[i].charAt(0) == letter) {
                return words[i].substring(1);
            }
        }
        return null;
    }
}
