package cacheproxy.emulator;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Relays datagrams between proxies. Each proxy has a separate relay address for each peer, to which it sends and from
 * which it receives, so that datagrams can be lost, delayed, duplicated or reordered in one direction between two
 * proxies. Datagrams that do not come from the proxy's own socket are dropped. Confined to the fleet's event loop.
 */
public final class PeerRelay {
    /** The additional delay of a reordered datagram. */
    private static final double REORDER_DELAY_MS = 20;

    private final EmulatedFleet fleet;
    private final Links links;
    private final SplittableRandom random;
    /** The proxies' listen addresses. */
    private final List<InetSocketAddress> proxies = new ArrayList<>();
    /** {@code [i][k]}: the relay socket for peer k at proxy i; {@code [i][n]}: broadcast to all peers of proxy i. */
    private final Channel[][] ends;

    /** Opens all sockets and blocks until they are bound; not to be called on the event loop. */
    PeerRelay(EmulatedFleet fleet, Links links) {
        this.fleet = fleet;
        this.links = links;
        int n = fleet.spec().proxies();
        random = new SplittableRandom(fleet.spec().seed() * 31 + 7);
        ends = new Channel[n][n + 1];
        for (int i = 0; i < n; i++) {
            proxies.add(unusedAddress(fleet.host(i)));
            for (int k = 0; k <= n; k++) {
                ends[i][k] = new Bootstrap()
                        .group(fleet.loop())
                        .channel(Sockets.BEST.datagram())
                        .handler(new End(i, k))
                        .bind("127.0.0.1", 0)
                        .syncUninterruptibly()
                        .channel();
            }
        }
    }

    private static InetSocketAddress unusedAddress(InetAddress host) {
        try (DatagramSocket socket = new DatagramSocket(0, host)) {
            return new InetSocketAddress(host, socket.getLocalPort());
        } catch (SocketException e) {
            throw new IllegalStateException(e);
        }
    }

    /** The address that this proxy is to listen on; free when it was chosen. */
    public InetSocketAddress listen(int proxy) {
        return proxies.get(proxy);
    }

    /** The addresses at which this proxy reaches each proxy, by number, including an unused one for itself. */
    public List<InetSocketAddress> peers(int proxy) {
        List<InetSocketAddress> all = new ArrayList<>();
        for (int k = 0; k < proxies.size(); k++) {
            all.add((InetSocketAddress) ends[proxy][k].localAddress());
        }
        return all;
    }

    /** The address at which this proxy reaches all others. */
    public InetSocketAddress all(int proxy) {
        return (InetSocketAddress) ends[proxy][proxies.size()].localAddress();
    }

    private final class End extends SimpleChannelInboundHandler<DatagramPacket> {
        private final int proxy;
        private final int peer;

        End(int proxy, int peer) {
            this.proxy = proxy;
            this.peer = peer;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            if (!packet.sender().equals(proxies.get(proxy))) {
                return;
            }
            fleet.series().count(proxy, Series.What.MESSAGES);
            fleet.series().add(proxy, Series.What.BYTES, packet.content().readableBytes(), fleet.now());
            for (int to = 0; to < proxies.size(); to++) {
                if (peer == to || (peer == proxies.size() && to != proxy)) {
                    relay(proxy, to, packet.content());
                }
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // a proxy that is down refuses datagrams; as on a real network, senders are not told
        }
    }

    @SuppressWarnings("ReferenceEquality") // Links returns the constant itself for a healthy link
    private void relay(int from, int to, ByteBuf message) {
        LinkConditions way = links.way(Parties.proxy(from), Parties.proxy(to));
        if (way == LinkConditions.OPEN) {
            deliver(from, to, message.retainedDuplicate());
            return;
        }
        if (way.cut() || random.nextDouble() < way.lose()) {
            return;
        }
        for (int copies = random.nextDouble() < way.twice() ? 2 : 1; copies > 0; copies--) {
            double late = way.delayMs()
                    + random.nextDouble() * way.jitterMs()
                    + (random.nextDouble() < way.reorder() ? REORDER_DELAY_MS : 0);
            ByteBuf copy = message.retainedDuplicate();
            fleet.loop().schedule(() -> deliver(from, to, copy), (long) (late * 1e6), TimeUnit.NANOSECONDS);
        }
    }

    private void deliver(int from, int to, ByteBuf message) {
        ends[to][from].writeAndFlush(new DatagramPacket(message, proxies.get(to)));
    }
}
