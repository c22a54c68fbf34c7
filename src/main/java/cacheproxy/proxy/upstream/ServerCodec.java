package cacheproxy.proxy.upstream;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.net.SocketAddress;

/** Encodes attempts in the server's protocol, and decodes its responses into method calls on the connection. */
interface ServerCodec {
    /** Writes an attempt; {@code remainingMs}: how long its response is waited for, as told to the server. */
    ChannelFuture write(Channel channel, UpstreamAttempt attempt, long remainingMs, SocketAddress address);

    /** Releases what has arrived of the current response, as nobody waits for it any more; the rest is discarded. */
    void discardBody();

    /** Whether responses carry the id of their request; otherwise only their order assigns them to attempts. */
    boolean responsesCarryRequestId();
}
