package cacheproxy.proxy.upstream;

import cacheproxy.proxy.protocol.MetaCodec;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.util.List;

/**
 * Decodes the responses of one connection to the origin. Rejects input that arrives while no attempt is in flight: if
 * buffered, it would become the start of the next response. Event loop only.
 */
final class OriginResponseDecoder extends HttpResponseDecoder {
    private static final int MAX_HEADERS_BYTES = 8192;
    private static final int MAX_CHUNK_BYTES = 64 << 10;

    private final UpstreamConnection connection;

    OriginResponseDecoder(UpstreamConnection connection) {
        super(MetaCodec.MAX_LINE_BYTES, MAX_HEADERS_BYTES, MAX_CHUNK_BYTES);
        this.connection = connection;
    }

    @Override
    protected void decode(ChannelHandlerContext channelContext, ByteBuf in, List<Object> out) throws Exception {
        if (connection.currentAttempt() != null) {
            super.decode(channelContext, in, out);
            return;
        }
        // Line ends alone do not start a response.
        boolean lineEndsOnly = in.forEachByte(b -> b == '\r' || b == '\n') < 0;
        in.skipBytes(in.readableBytes());
        if (!lineEndsOnly) {
            connection.protocolError("response without a request");
        }
    }
}
