package cacheproxy.proxy;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;

/**
 * A decoder on a connection whose reading is paused at times. Guards against a pause that does not hold: Netty's own
 * asks for more at the end of each read that made no message, paused or not, and one that turns what it reads into
 * calls makes none.
 */
abstract class PausableDecoder extends ByteToMessageDecoder {
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) throws Exception {
        discardSomeReadBytes();
        ctx.fireChannelReadComplete();
    }
}
