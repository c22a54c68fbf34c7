package cacheproxy.proxy.protocol;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;

/**
 * A decoder on a connection whose reading is paused at times. Netty's {@link ByteToMessageDecoder} requests another
 * read after each one that produced no message, even while reading is paused; a decoder that turns input into method
 * calls produces none.
 */
public abstract class PausableDecoder extends ByteToMessageDecoder {
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) throws Exception {
        discardSomeReadBytes();
        ctx.fireChannelReadComplete();
    }
}
