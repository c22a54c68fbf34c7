package cacheproxy.emulator.meta;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.TooLongFrameException;
import java.util.List;

/** Decodes a client's bytes into {@link MetaCommand}s; a command is emitted once all its bytes have arrived. */
public final class MetaCommandDecoder extends ByteToMessageDecoder {
    private String[] write;
    private int length;

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        if (write != null) {
            value(in, out);
            return;
        }
        String line;
        try {
            line = MetaLines.readLine(in);
        } catch (TooLongFrameException e) {
            in.skipBytes(in.readableBytes());
            out.add(new MetaCommand.Unusable(e.getMessage(), true));
            return;
        }
        if (line != null) {
            command(line, out);
        }
    }

    private void command(String line, List<Object> out) {
        String[] words = line.split(" ");
        switch (words[0]) {
            case "mn" -> out.add(new MetaCommand.Noop());
            case "stats" -> out.add(new MetaCommand.Stats());
            case "mg" -> {
                String id = MetaLines.flag(words, 2, 'O');
                String extras = MetaLines.flag(words, 2, 'P');
                out.add(
                        words.length < 2 || id == null || extras == null
                                ? new MetaCommand.Unusable("bad command line format", false)
                                : new MetaCommand.Read(words[1], id, extras));
            }
            case "ms" -> {
                length = words.length < 3 ? -1 : MetaLines.length(words[2]);
                if (length < 0) {
                    out.add(new MetaCommand.Unusable("bad data length", true));
                } else {
                    write = words;
                }
            }
            default -> out.add(new MetaCommand.Unusable("unknown command", false));
        }
    }

    private void value(ByteBuf in, List<Object> out) {
        if (in.readableBytes() < length + 2) {
            return;
        }
        byte[] value = new byte[length];
        in.readBytes(value);
        boolean ended = MetaLines.readLineEnd(in);
        String[] words = write;
        write = null;
        String id = MetaLines.flag(words, 3, 'O');
        String extras = MetaLines.flag(words, 3, 'P');
        if (!ended) {
            out.add(new MetaCommand.Unusable("bad data chunk", true));
        } else if (id == null || extras == null) {
            out.add(new MetaCommand.Unusable("bad command line format", false));
        } else {
            out.add(new MetaCommand.Write(words[1], id, extras, value));
        }
    }
}
