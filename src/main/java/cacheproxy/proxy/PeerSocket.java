package cacheproxy.proxy;

import cacheproxy.gossip.AntiEntropy;
import cacheproxy.gossip.Envelope;
import cacheproxy.gossip.Envelope.Item;
import cacheproxy.gossip.SendBudget;
import cacheproxy.metrics.Metric;
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
public final class PeerSocket {
    /** What an instance may send, whatever the size of the fleet. */
    private static final double BYTES_PER_SECOND = 2000;

    private static final double BURST = 6000;
    /** A predecessor that has passed its clients on still holds the address for a while. */
    private static final long AGAIN_MS = 500;

    /** The kinds of item. */
    public enum Kind {
        /** The version of the list, as {@code ListNews} has it. */
        LIST(1),
        /** What the decision module tells. */
        MODULE(2),
        /** Who lives. */
        MEMBERS(3),
        /** Which nodes were found silent. */
        NODES(4),
        /** What somebody who comes back asks for, and is told. */
        RECALL(5);

        /** The version of all forms so far. */
        static final int VERSION = 0;

        private final int number;

        Kind(int number) {
            this.number = number;
        }

        /** Its code on the wire. */
        int number() {
            return number;
        }

        /** The kind of that code; null if it is unknown, as that of a later program. */
        static Kind of(int number) {
            for (Kind kind : values()) {
                if (kind.number == number) {
                    return kind;
                }
            }
            return null;
        }
    }

    private final EventLoop loop;
    private final Config config;
    private final Receiver receiver;
    private final Counters counters;
    private final SendBudget outbox = new SendBudget(BYTES_PER_SECOND, BURST);
    /** The peers' numbers by address: where all talk, a search for each datagram would grow with the fleet's square. */
    private final Map<InetSocketAddress, Integer> numbers = new HashMap<>();

    private Channel channel;

    /** What takes the messages of peers. */
    public interface Receiver {
        /** A message of this kind has arrived from a peer. */
        void heard(int peer, Kind kind, byte[] body);
    }

    /** Binds the socket, where the configuration names peers. */
    public PeerSocket(EventLoop loop, Config config, Receiver receiver, Counters counters) {
        this.loop = loop;
        this.config = config;
        this.receiver = receiver;
        this.counters = counters;
        for (int i = 0; i < config.peers().size(); i++) {
            numbers.putIfAbsent(config.peers().get(i), i);
        }
        if (config.settings().peerMessagesAllowed() && config.peerListen() != null) {
            ChannelFuture bound = bind().awaitUninterruptibly();
            channel = bound.channel(); // what is sent before is lost
            if (!bound.isSuccess()) {
                again();
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

    private void again() {
        loop.schedule(
                () -> bind().addListener(f -> {
                    if (f.isSuccess()) {
                        channel = ((ChannelFuture) f).channel();
                    } else {
                        again();
                    }
                }),
                AGAIN_MS,
                TimeUnit.MILLISECONDS);
    }

    /** The address that it is bound to. */
    public InetSocketAddress address() {
        return channel == null ? null : (InetSocketAddress) channel.localAddress();
    }

    /** What bounds the datagrams that are sent. */
    public SendBudget outbox() {
        return outbox;
    }

    /** The number of some other proxy of the tier; negative if there is none. */
    int another(SplittableRandom random) {
        return AntiEntropy.randomPeer(
                random, config.settings().instanceIndex(), config.peers().size());
    }

    /** Sends to the proxy of this number, or to all of the tier if it is negative, if the budget has room for it. */
    void send(int peer, Kind kind, byte[] body) {
        if (body.length <= Envelope.MAX_BODY_BYTES
                && outbox.tryAcquire(
                        System.nanoTime() / 1e6, Envelope.datagramBytes(body.length), SendBudget.Priority.NORMAL)) {
            sendAdmitted(peer, kind, body);
        }
    }

    /** The same for what has been taken out of the budget already. */
    void sendAdmitted(int peer, Kind kind, byte[] body) {
        InetSocketAddress to = peer < 0
                ? config.peersAll()
                : peer < config.peers().size() ? config.peers().get(peer) : null;
        if (channel == null || to == null) {
            return;
        }
        counters.increment(Metric.PEER_MESSAGES_SENT);
        channel.writeAndFlush(new DatagramPacket(
                Unpooled.wrappedBuffer(Envelope.encode(List.of(new Item(kind.number(), Kind.VERSION, body)))), to));
    }

    /** What does not come from a peer, is longer than the protocol has it or was changed on its way, is dropped. */
    private final class Handler extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            Integer peer = numbers.get(packet.sender());
            if (peer == null || packet.content().readableBytes() > Envelope.MAX_DATAGRAM_BYTES) {
                return;
            }
            counters.increment(Metric.PEER_MESSAGES_RECEIVED);
            for (Item item : Envelope.decode(ByteBufUtil.getBytes(packet.content()))) {
                Kind kind = Kind.of(item.kind());
                if (item.version() == Kind.VERSION && kind != null) {
                    receiver.heard(peer, kind, item.body());
                }
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // A datagram that did not arrive says nothing of the next.
        }
    }
}
