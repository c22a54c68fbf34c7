package cacheproxy.proxy.peer;

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
import java.util.function.Consumer;

/**
 * Sends datagrams to the other proxies of a tier and receives theirs. Delivery is best effort: a datagram may be late,
 * lost or duplicated. All subsystems send through this one socket and share its {@link SendBudget}.
 *
 * <p>Everything but the constructor runs on the event loop. A malformed datagram is dropped without an exception.
 */
public final class PeerDatagramSocket {
    /** The peer number that stands for all other proxies of the tier. */
    public static final int ALL_PEERS = -1;

    /** The maximum send rate of an instance in bytes per second, whatever the size of the fleet. */
    private static final double BYTES_PER_SECOND = 2000;

    private static final double BURST_BYTES = 6000;
    /**
     * The interval of bind attempts, as a predecessor that has passed on its clients still holds the address for a
     * while.
     */
    private static final long BIND_RETRY_MS = 500;

    private final EventLoop loop;
    private final Class<? extends Channel> channelType;
    private final PeerAddresses addresses;
    private final Listener listener;
    private final Consumer<Metric> counter;
    private final SendBudget budget = new SendBudget(BYTES_PER_SECOND, BURST_BYTES);
    /** Peer numbers by address. A linear search per datagram would cost the square of the fleet size when all send. */
    private final Map<InetSocketAddress, Integer> peerNumbers = new HashMap<>();

    /** Null until the socket is bound; datagrams sent before that are lost. */
    private Channel channel;

    /** Receives the messages of peers, on the event loop. */
    public interface Listener {
        /** A message of a known kind and version has been received from the proxy of this number. */
        void onMessage(int peer, PeerMessageKind kind, byte[] body);
    }

    /**
     * Binds the socket and blocks until that has succeeded or failed, so it must not be called on the event loop. A
     * failed bind, as for an address in use, is retried every {@value #BIND_RETRY_MS} ms.
     *
     * @param channelType the type of datagram channels on this event loop
     * @param counter called for each datagram sent or received
     */
    public PeerDatagramSocket(
            EventLoop loop,
            Class<? extends Channel> channelType,
            PeerAddresses addresses,
            Listener listener,
            Consumer<Metric> counter) {
        this.loop = loop;
        this.channelType = channelType;
        this.addresses = addresses;
        this.listener = listener;
        this.counter = counter;
        for (int i = 0; i < addresses.peers().size(); i++) {
            peerNumbers.putIfAbsent(addresses.peers().get(i), i);
        }
        if (addresses.listen() != null) {
            ChannelFuture bound = bind().awaitUninterruptibly();
            channel = bound.channel();
            if (!bound.isSuccess()) {
                retryBind();
            }
        }
    }

    private ChannelFuture bind() {
        return new Bootstrap()
                .group(loop)
                .channel(channelType)
                .handler(new DatagramHandler())
                .bind(addresses.listen());
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

    /** The local address; null if this proxy does not participate. */
    public InetSocketAddress address() {
        return channel == null ? null : (InetSocketAddress) channel.localAddress();
    }

    /** The send budget that all subsystems share. */
    public SendBudget budget() {
        return budget;
    }

    /** The number of another proxy of the tier, chosen uniformly at random; negative if there is none. */
    public int randomPeer(SplittableRandom random) {
        return AntiEntropy.randomPeer(
                random, addresses.self(), addresses.peers().size());
    }

    /**
     * Sends a message; drops it if it exceeds the budget or its body is too long for a datagram.
     *
     * @param peer the number of a proxy; {@link #ALL_PEERS}, or any other negative number, for all others
     */
    public void send(int peer, PeerMessageKind kind, byte[] body) {
        if (body.length <= Envelope.MAX_BODY_BYTES
                && budget.tryAcquire(
                        System.nanoTime() / 1e6, Envelope.datagramBytes(body.length), SendBudget.Priority.NORMAL)) {
            sendWithinBudget(peer, kind, body);
        }
    }

    /** Sends a message whose bytes were already taken from {@link #budget}; {@code peer} as in {@link #send}. */
    public void sendWithinBudget(int peer, PeerMessageKind kind, byte[] body) {
        InetSocketAddress to = addressOf(peer);
        if (channel == null || to == null) {
            return;
        }
        counter.accept(Metric.PEER_MESSAGES_SENT);
        byte[] datagram = Envelope.encode(List.of(new Item(kind.code(), PeerMessageKind.VERSION, body)));
        channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(datagram), to));
    }

    /** The address of a peer; null if there is none. */
    private InetSocketAddress addressOf(int peer) {
        if (peer < 0) {
            return addresses.all();
        }
        return peer < addresses.peers().size() ? addresses.peers().get(peer) : null;
    }

    /** Drops datagrams that are not from a peer, exceed the protocol's maximum length or are corrupted. */
    private final class DatagramHandler extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            Integer peer = peerNumbers.get(packet.sender());
            if (peer == null || packet.content().readableBytes() > Envelope.MAX_DATAGRAM_BYTES) {
                return;
            }
            counter.accept(Metric.PEER_MESSAGES_RECEIVED);
            for (Item item : Envelope.decode(ByteBufUtil.getBytes(packet.content()))) {
                PeerMessageKind kind = PeerMessageKind.of(item.kind());
                if (item.version() == PeerMessageKind.VERSION && kind != null) {
                    listener.onMessage(peer, kind, item.body());
                }
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // An error of one datagram does not affect the next.
        }
    }
}
