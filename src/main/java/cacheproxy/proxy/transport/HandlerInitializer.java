package cacheproxy.proxy.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;

/** Adds handlers to the pipeline of one new connection. */
public final class HandlerInitializer extends ChannelInitializer<Channel> {
    private final ChannelHandler[] handlers;

    /** The handlers, in the order of the pipeline. */
    public HandlerInitializer(ChannelHandler... handlers) {
        this.handlers = handlers;
    }

    @Override
    protected void initChannel(Channel channel) {
        channel.pipeline().addLast(handlers);
    }
}
