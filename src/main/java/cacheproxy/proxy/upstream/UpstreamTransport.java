package cacheproxy.proxy.upstream;

import io.netty.channel.Channel;

/**
 * How connections to servers are made.
 *
 * @param channelType the type of their channels
 * @param quietPeriodMs the quiet period after a response on a connection whose responses carry no request id, in
 *     milliseconds
 */
public record UpstreamTransport(Class<? extends Channel> channelType, double quietPeriodMs) {
    /** Some milliseconds for a duplicate response itself, the rest for machines and links that are held up. */
    private static final double QUIET_PERIOD_MS = 150;

    /** The transport to servers whose responses may be duplicated on the way. */
    public static UpstreamTransport withDuplicates(Class<? extends Channel> channelType) {
        return new UpstreamTransport(channelType, QUIET_PERIOD_MS);
    }
}
