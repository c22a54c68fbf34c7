package cacheproxy.proxy.lifecycle;

/**
 * How the requests of one service class have ended since the start.
 *
 * @param succeeded answered with a server's response
 * @param rejected refused without having run, so that a retry is safe
 * @param failed ended without a response although they may have run
 */
public record ClassOutcomes(long succeeded, long rejected, long failed) {}
