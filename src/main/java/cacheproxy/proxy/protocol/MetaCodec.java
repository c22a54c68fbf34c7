package cacheproxy.proxy.protocol;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** The grammar of the meta text protocol, shared by the codecs towards clients and cache nodes. Stateless. */
public final class MetaCodec {
    /** The longest value of the protocol. */
    public static final int MAX_VALUE_BYTES = 4 << 20;
    /** Values up to this size are passed on whole, longer ones are streamed. */
    public static final int MAX_WHOLE_VALUE_BYTES = 64 << 10;

    public static final int MAX_LINE_BYTES = 4096;
    /** Length of the line end behind a value. */
    public static final int LINE_END_BYTES = 2;

    public static final String FAILED_LINE = "SERVER_ERROR failed\r\n";
    public static final String BUSY = "SERVER_ERROR busy";

    private MetaCodec() {}

    /** Input violates the protocol's grammar. */
    public static final class SyntaxException extends Exception {
        private static final long serialVersionUID = 1L;

        /** {@code message}: what is wrong, for the client and the log. */
        public SyntaxException(String message) {
            super(message, null, false, false);
        }
    }

    /** Reads one line and returns it without its end; null while it is incomplete. */
    public static String readLine(ByteBuf in) throws SyntaxException {
        int start = in.readerIndex();
        int end = in.indexOf(start, Math.min(in.writerIndex(), start + MAX_LINE_BYTES), (byte) '\n');
        if (end < 0) {
            if (in.readableBytes() >= MAX_LINE_BYTES) {
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

    /** Parses a value's decimal length, at most {@link #MAX_VALUE_BYTES}. */
    public static int parseLength(String token) throws SyntaxException {
        int n = 0;
        for (int i = 0; i < token.length(); i++) {
            int digit = token.charAt(i) - '0';
            if (digit < 0 || digit > 9 || n > MAX_VALUE_BYTES) {
                throw new SyntaxException("bad data length");
            }
            n = 10 * n + digit;
        }
        if (token.isEmpty() || n > MAX_VALUE_BYTES) {
            throw new SyntaxException("bad data length");
        }
        return n;
    }

    /** The token that starts at this index; empty at the end of the line. */
    public static String tokenAt(String line, int start) {
        int end = line.indexOf(' ', start);
        return start >= line.length() ? "" : line.substring(start, end < 0 ? line.length() : end);
    }

    /** The flag that starts with this letter, without the letter; null if there is none from {@code from} on. */
    public static String flag(String line, int from, char letter) {
        for (int at = from; at >= 0 && at < line.length(); at = line.indexOf(' ', at) + 1) {
            if (line.charAt(at) == letter) {
                return tokenAt(line, at).substring(1);
            }
            if (line.indexOf(' ', at) < 0) {
                break;
            }
        }
        return null;
    }

    /** The value of a parameter in a list such as {@code c=read,d=480}; null if it is absent. */
    public static String parameter(String list, String name) {
        int at = parameterIndex(list, name);
        if (at < 0) {
            return null;
        }
        int end = list.indexOf(',', at);
        return list.substring(at, end < 0 ? list.length() : end);
    }

    /** Where the value of a parameter starts in a list; -1 if it is absent. */
    public static int parameterIndex(String list, String name) {
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

    /** The figures of a load report in the order of their names; null if one is absent or malformed. */
    public static float[] loadReport(String list, List<String> names) {
        if (list == null || names.isEmpty()) {
            return null;
        }
        float[] report = new float[Math.min(4, names.size())];
        for (int i = 0; i < report.length; i++) {
            String value = parameter(list, names.get(i));
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

    /** The first line of a response with a value. */
    public static String valueHeader(int length, String id) {
        return "VA " + length + " O" + id + "\r\n";
    }

    /** The response to a write, with the origin's receipt. */
    public static String receipt(String id, String receipt) {
        return "HD O" + id + " c" + receipt + "\r\n";
    }

    /** Whether the value is followed by its line end. */
    public static boolean endsWithLineEnd(ByteBuf value) {
        int end = value.writerIndex();
        return value.getByte(end - 2) == '\r' && value.getByte(end - 1) == '\n';
    }

    /** The text as bytes. */
    public static ByteBuf encode(ByteBufAllocator allocator, String text) {
        ByteBuf buf = allocator.buffer(text.length() + 2);
        ByteBufUtil.writeAscii(buf, text);
        return buf;
    }

    /**
     * Encodes a short value with its lines into one buffer, and releases it: this costs a copy, but saves the system
     * call two more buffers.
     */
    public static ByteBuf encodeValue(ByteBufAllocator allocator, ByteBuf value, String id) {
        String head = valueHeader(value.readableBytes(), id);
        ByteBuf out = allocator.buffer(head.length() + value.readableBytes() + LINE_END_BYTES);
        out.writeCharSequence(head, StandardCharsets.ISO_8859_1);
        out.writeBytes(value).writeByte('\r').writeByte('\n');
        value.release();
        return out;
    }
}
