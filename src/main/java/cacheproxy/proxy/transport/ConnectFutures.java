package cacheproxy.proxy.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;

/**
 * The results of connects. If the system can't provide a socket (ENFILE, EMFILE, ENOBUFS), Netty returns a channel that
 * is registered with no event loop, notifies listeners on another thread, and throws when that channel is closed. These
 * methods report this like any other failed connect.
 */
public final class ConnectFutures {
    private ConnectFutures() {}

    /** The channel of a connect in progress; null if there is none because no socket could be created. */
    public static Channel channel(ChannelFuture future) {
        boolean none =
                future.isDone() && !future.isSuccess() && !future.channel().isRegistered();
        return none ? null : future.channel();
    }

    /**
     * Runs the task on the event loop once the connect has succeeded or failed; never within this call if it failed.
     */
    public static void whenDone(EventLoop loop, ChannelFuture future, Runnable task) {
        if (future.isDone() && !future.isSuccess()) {
            loop.execute(task);
        } else {
            future.addListener(f -> {
                if (loop.inEventLoop()) {
                    task.run();
                } else {
                    loop.execute(task);
                }
            });
        }
    }
}
