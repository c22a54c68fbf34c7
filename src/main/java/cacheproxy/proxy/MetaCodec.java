package cacheproxy.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** The grammar of the meta text protocol, shared by the sides of clients and of cache nodes. */
final class MetaCodec {
    /** The longest value the protocol has. */
    static final int MAX_VALUE = 4 << 20;
    /** Answers up to this size are passed on whole, longer ones as they come. */
    static final int WHOLE = 64 << 10;

    static final int MAX_LINE = 4096;
    /** Of the line end behind a value. */
    static final int LINE_END_BYTES = 2;

    static final String FAILED = "SERVER_ERROR failed\r\n";
    static final String BUSY = "SERVER_ERROR busy";

    private MetaCodec() {}

    /** Input that is not the protocol's. */
    static final class SyntaxException extends Exception {
        private static final long serialVersionUID = 1L;

        SyntaxException(String message) {
            super(message, null, false, false);
        }
    }

    /** Takes one line off the input, without its end; null while it is not all there. */
    static String line(ByteBuf in) throws SyntaxException {
        int start = in.readerIndex();
        int end = in.indexOf(start, Math.min(in.writerIndex(), start + MAX_LINE), (byte) '\n');
        if (end < 0) {
            if (in.readableBytes() >= MAX_LINE) {
                throw new SyntaxException("line too long");
            }
            return null;
        }
        int length = end - start;
        if (length > 0 && in.getByte(end - 1) == '\r') {
            length--;
        }
        String line = in.toString(start, length, StandardCharsets.ISO_8859_1);
        in.readerIndex(end + 1);
        return line;
    }

    /** A decimal length between 0 and the longest value. */
    static int length(String word) throws SyntaxException {
        int n = 0;
        for (int i = 0; i < word.length(); i++) {
            int digit = word.charAt(i) - '0';
            if (digit < 0 || digit > 9 || n > MAX_VALUE) {
                throw new SyntaxException("bad data length");
            }
            n = 10 * n + digit;
        }
        if (word.isEmpty() || n > MAX_VALUE) {
            throw new SyntaxException("bad data length");
        }
        return n;
    }

    static String wordAt(String line, int start) {
        int end = line.indexOf(' ', start);
        return start >= line.length() ? "" : line.substring(start, end < 0 ? line.length() : end);
    }

    /** The flag that begins with this letter, without the letter; null if the line has none from there on. */
    static String flag(String line, int from, char letter) {
        for (int at = from; at >= 0 && at < line.length(); at = line.indexOf(' ', at) + 1) {
            if (line.charAt(at) == letter) {
                return wordAt(line, at).substring(1);
            }
            if (line.indexOf(' ', at) < 0) {
                break;
            }
        }
        return null;
    }

    /** The value under this name in a list such as {@code c=read,d=480}; null if it is not there. */
    static String named(String list, String name) {
        int at = valueAt(list, name);
        if (at < 0) {
            return null;
        }
        int end = list.indexOf(',', at);
        return list.substring(at, end < 0 ? list.length() : end);
    }

    /** Where the value under this name begins in a list, or -1. */
    static int valueAt(String list, String name) {
        for (int at = 0; at >= 0 && at < list.length(); at = list.indexOf(',', at) + 1) {
            if (list.startsWith(name, at) && list.startsWith("=", at + name.length())) {
                return at + name.length() + 1;
            }
            if (list.indexOf(',', at) < 0) {
                break;
            }
        }
        return -1;
    }

    /** A load report as the module takes it; null where there is none or a figure is not one. */
    static float[] report(String list, List<String> names) {
        if (list == null || names.isEmpty()) {
            return null;
        }
        float[] report = new float[Math.min(4, names.size())];
        for (int i = 0; i < report.length; i++) {
            String value = named(list, names.get(i));
            if (value == null) {
                return null;
            }
            try {
                report[i] = Float.parseFloat(value);
            } catch (NumberFormatException e) {
                return null;
            }
        }
        return report;
    }

    /** The first line of a served read. */
    static String valueHead(int length, String id) {
        return "VA " + length + " O" + id + "\r\n";
    }

    static String receipt(String id, String receipt) {
        return "HD O" + id + " c" + receipt + "\r\n";
    }

    /** Whether the value is followed by its line end. */
    static boolean endsWithLineEnd(ByteBuf value) {
        int end = value.writerIndex();
        return value.getByte(end - 2) == '\r' && value.getByte(end - 1) == '\n';
    }

    static ByteBuf text(ByteBufAllocator alloc, String text) {
        ByteBuf buf = alloc.buffer(text.length() + 2);
        ByteBufUtil.writeAscii(buf, text);
        return buf;
    }
}
