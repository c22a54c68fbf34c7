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
 * lost or repeated. All parts of the program send through this one socket and share its {@link SendBudget}.
 *
 * <p>Everything but the constructor runs on the event loop. Nothing here throws for what a peer sends: a datagram that
 * can't be read is dropped.
 */
public final class PeerDatagramSocket {
    /** Stands for all other proxies of the tier where a peer's number is asked for. */
    public static final int ALL_PEERS = -1;

    /** What an instance may send, in bytes a second, whatever the size of the fleet. */
    private static final double BYTES_PER_SECOND = 2000;

    private static final double BURST_BYTES = 6000;
    /** A predecessor that has passed its clients on still holds the address for a while. */
    private static final long BIND_RETRY_MS = 500;

    private final EventLoop loop;
    private final Class<? extends Channel> channelType;
    private final PeerAddresses addresses;
    private final Listener listener;
    private final Consumer<Metric> counter;
    private final SendBudget budget = new SendBudget(BYTES_PER_SECOND, BURST_BYTES);
    /** By address: where all send, a search for each datagram would grow with the square of the fleet. */
    private final Map<InetSocketAddress, Integer> peerNumbers = new HashMap<>();

    /** Null until the socket is bound; what is sent before is lost. */
    private Channel channel;

    /** Receives the messages of peers, on the event loop. */
    public interface Listener {
        /** A message has come: from the proxy of this number, of a kind and version of form that are known here. */
        void onMessage(int peer, PeerMessageKind kind, byte[] body);
    }

    /**
     * Binds the socket and waits until it is bound or has failed; not to be called on the event loop. An address that
     * is in use is tried again every {@value #BIND_RETRY_MS} ms.
     *
     * @param channelType of datagram channels on this event loop
     * @param counter is told each datagram that was sent or received
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

    /** Where it is bound; null if this proxy takes no part. */
    public InetSocketAddress address() {
        return channel == null ? null : (InetSocketAddress) channel.localAddress();
    }

    /** What all parts of the program together may send. */
    public SendBudget budget() {
        return budget;
    }

    /** The number of some other proxy of the tier, each as likely; negative if there is none. */
    public int randomPeer(SplittableRandom random) {
        return AntiEntropy.randomPeer(
                random, addresses.self(), addresses.peers().size());
    }

    /**
     * Sends a message; drops it if the budget has no room for it or its body is too long for a datagram.
     *
     * @param peer the number of a proxy; {@link #ALL_PEERS}, or any other negative number, for all others at once
     */
    public void send(int peer, PeerMessageKind kind, byte[] body) {
        if (body.length <= Envelope.MAX_BODY_BYTES
                && budget.tryAcquire(
                        System.nanoTime() / 1e6, Envelope.datagramBytes(body.length), SendBudget.Priority.NORMAL)) {
            sendWithinBudget(peer, kind, body);
        }
    }

    /** Sends a message whose bytes have been taken from {@link #budget} already; {@code peer} as in {@link #send}. */
    public void sendWithinBudget(int peer, PeerMessageKind kind, byte[] body) {
        InetSocketAddress to = addressOf(peer);
        if (channel == null || to == null) {
            return;
        }
        counter.accept(Metric.PEER_MESSAGES_SENT);
        byte[] datagram = Envelope.encode(List.of(new Item(kind.code(), PeerMessageKind.VERSION, body)));
        channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(datagram), to));
    }

    /** Null where there is none. */
    private InetSocketAddress addressOf(int peer) {
        if (peer < 0) {
            return addresses.all();
        }
        return peer < addresses.peers().size() ? addresses.peers().get(peer) : null;
    }

    /** Drops what does not come from a peer, is longer than the protocol allows, or was changed on its way. */
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
            // A datagram that did not arrive says nothing of the next.
        }
    }
}
