package cacheproxy.emulator.meta;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.CorruptedFrameException;
import java.util.List;

/** Decodes a server's bytes into {@link MetaAnswer}s. Throws a decoder exception on a framing error. */
public final class MetaAnswerDecoder extends ByteToMessageDecoder {
    /** Values of more than this many bytes are timed by their first line instead of their last byte. */
    public static final int LONG = 64 << 10;

    private static final String BUSY = "SERVER_ERROR busy";

    private String valueId;
    private int length = -1;
    private long begunNanos;

    /** Whether a value over {@link #LONG} is being received and is not complete yet. */
    public boolean inLongValue() {
        return length > LONG;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        if (length < 0) {
            String line = MetaLines.readLine(in);
            if (line != null) {
                line(line, out);
            }
        } else if (in.readableBytes() >= length + 2) {
            byte[] value = new byte[length];
            in.readBytes(value);
            length = -1;
            if (!MetaLines.readLineEnd(in)) {
                throw new CorruptedFrameException("value without end");
            }
            out.add(new MetaAnswer.Value(valueId, value, begunNanos));
        }
    }

    private void line(String line, List<Object> out) {
        String[] words = line.split(" ");
        switch (words[0]) {
            case "VA" -> {
                length = words.length < 2 ? -1 : MetaLines.length(words[1]);
                if (length < 0) {
                    throw new CorruptedFrameException("bad data length");
                }
                valueId = MetaLines.flag(words, 2, 'O');
                begunNanos = System.nanoTime();
            }
            case "HD" ->
                out.add(new MetaAnswer.Receipt(
                        MetaLines.flag(words, 1, 'O'), String.valueOf(MetaLines.flag(words, 1, 'c'))));
            case "EN" -> out.add(new MetaAnswer.Miss(MetaLines.flag(words, 1, 'O')));
            case "MN" -> out.add(new MetaAnswer.Noop());
            default -> out.add(line.startsWith(BUSY) ? new MetaAnswer.Busy(after(line)) : new MetaAnswer.Failed(line));
        }
    }

    private static long after(String line) {
        String word = line.substring(BUSY.length()).trim();
        return word.matches("\\d{1,9}") ? Long.parseLong(word) : 0;
    }
}
