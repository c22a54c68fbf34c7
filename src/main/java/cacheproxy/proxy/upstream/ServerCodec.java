package cacheproxy.proxy.upstream;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.net.SocketAddress;

/** Encodes attempts in the server's protocol, and decodes its responses into method calls on the connection. */
interface ServerCodec {
    /** Writes an attempt; {@code remainingMs}: how long its response is waited for, as told to the server. */
    ChannelFuture write(Channel channel, UpstreamAttempt attempt, long remainingMs, SocketAddress address);

    /** Whether responses carry the id of their request; otherwise only their order assigns them to attempts. */
    boolean responsesCarryRequestId();
}
