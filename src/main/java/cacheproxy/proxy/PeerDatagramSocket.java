package cacheproxy.proxy;

import cacheproxy.gossip.AntiEntropy;
import cacheproxy.gossip.Envelope;
import cacheproxy.gossip.Envelope.Item;
import cacheproxy.gossip.SendBudget;
import cacheproxy.metrics.Work;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Messages between the proxies of a tier: datagrams that come late or not at all. The one owner of what may be sent to
 * peers: all parts of the program share its budget.
 */
final class PeerDatagramSocket {
    /** What an instance may send, whatever the size of the fleet. */
    private static final double BYTES_PER_SECOND = 2000;

    private static final double BURST_BYTES = 6000;
    /** A predecessor that has passed its clients on still holds the address for a while. */
    private static final long BIND_RETRY_MS = 500;

    private final EventLoop loop;
    private final Config config;
    private final Receiver receiver;
    private final Counters counters;
    private final SendBudget budget = new SendBudget(BYTES_PER_SECOND, BURST_BYTES);
    /** The peers' numbers by address: where all talk, a search for each datagram would grow with the fleet's square. */
    private final Map<InetSocketAddress, Integer> peerNumbers = new HashMap<>();

    private Channel channel;

    /** What takes the messages of peers. */
    interface Receiver {
        void onMessage(int peer, PeerMessageKind kind, byte[] body);
    }

    PeerDatagramSocket(EventLoop loop, Config config, Receiver receiver, Counters counters) {
        this.loop = loop;
        this.config = config;
        this.receiver = receiver;
        this.counters = counters;
        for (int i = 0; i < config.peers().size(); i++) {
            peerNumbers.putIfAbsent(config.peers().get(i), i);
        }
        if (config.settings().peerMessagesAllowed() && config.peerListen() != null) {
            ChannelFuture bound = bind().awaitUninterruptibly();
            channel = bound.channel(); // what is sent before is lost
            if (!bound.isSuccess()) {
                retryBind();
            }
        }
    }

    private ChannelFuture bind() {
        return new Bootstrap()
                .group(loop)
                .channel(Transport.BEST.datagram())
                .handler(new Handler())
                .bind(config.peerListen());
    }

    private void retryBind() {
        loop.schedule(
                () -> bind().addListener(f -> {
                    if (f.isSuccess()) {
                        channel = ((ChannelFuture) f).channel();
                    } else {
                        retryBind();
                    }
                }),
                BIND_RETRY_MS,
                TimeUnit.MILLISECONDS);
    }

    InetSocketAddress address() {
        return channel == null ? null : (InetSocketAddress) channel.localAddress();
    }

    SendBudget budget() {
        return budget;
    }

    /** The number of some other proxy of the tier; negative if there is none. */
    int randomPeer(SplittableRandom random) {
        return AntiEntropy.randomPeer(
                random, config.settings().instanceIndex(), config.peers().size());
    }

    /** Sends to the proxy of this number, or to all of the tier if it is negative, if the budget has room for it. */
    void send(int peer, PeerMessageKind kind, byte[] body) {
        if (body.length <= Envelope.MAX_BODY_BYTES
                && budget.tryAcquire(
                        System.nanoTime() / 1e6, Envelope.datagramBytes(body.length), SendBudget.Priority.NORMAL)) {
            sendWithinBudget(peer, kind, body);
        }
    }

    /** The same for what has been taken out of the budget already. */
    void sendWithinBudget(int peer, PeerMessageKind kind, byte[] body) {
        InetSocketAddress to = peer < 0
                ? config.peersAll()
                : peer < config.peers().size() ? config.peers().get(peer) : null;
        if (channel == null || to == null) {
            return;
        }
        counters.did(Work.MESSAGES_SENT);
        channel.writeAndFlush(new DatagramPacket(
                Unpooled.wrappedBuffer(Envelope.encode(List.of(new Item(kind.code(), PeerMessageKind.VERSION, body)))),
                to));
    }

    /** What does not come from a peer, is longer than the protocol has it or was changed on its way, is dropped. */
    private final class Handler extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            Integer peer = peerNumbers.get(packet.sender());
            if (peer == null || packet.content().readableBytes() > Envelope.MAX_DATAGRAM_BYTES) {
                return;
            }
            counters.did(Work.MESSAGES_HEARD);
            for (Item item : Envelope.decode(ByteBufUtil.getBytes(packet.content()))) {
                PeerMessageKind kind = PeerMessageKind.of(item.kind());
                if (item.version() == PeerMessageKind.VERSION && kind != null) {
                    receiver.onMessage(peer, kind, item.body());
                }
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // A datagram that did not arrive says nothing of the next.
        }
    }
}
