package cacheproxy.proxy.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;

/**
 * What comes of a connection that is being made. Where the system has no socket to give (ENFILE, EMFILE, ENOBUFS),
 * Netty hands out a channel that belongs to no event loop, tells of it on a thread of its own, and throws where that
 * channel is closed. Whoever connects learns of that here, as of any other connection that does not come up.
 */
public final class ConnectFutures {
    private ConnectFutures() {}

    /** The channel of a connection that is being made; null if there could be none. */
    public static Channel channel(ChannelFuture connecting) {
        boolean none = connecting.isDone()
                && !connecting.isSuccess()
                && !connecting.channel().isRegistered();
        return none ? null : connecting.channel();
    }

    /** Runs the task on the event loop once the connection is up or has failed; never within this call if it failed. */
    public static void whenDone(EventLoop loop, ChannelFuture connecting, Runnable task) {
        if (connecting.isDone() && !connecting.isSuccess()) {
            loop.execute(task);
        } else {
            connecting.addListener(f -> {
                if (loop.inEventLoop()) {
                    task.run();
                } else {
                    loop.execute(task);
                }
            });
        }
    }
}
