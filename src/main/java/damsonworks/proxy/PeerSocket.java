package damsonworks.proxy;

import damsonworks.figures.Work;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import java.net.InetSocketAddress;

/** Messages between the proxies of a tier: datagrams that come late or not at all. */
final class PeerSocket {
    private static final int MAX_MESSAGE = 256;

    private final Config config;
    private final Receiver receiver;
    private final Counters counters;
    private Channel channel;

    /** What takes the messages of peers. */
    interface Receiver {
        void heard(int peer, byte[] message);
    }

    PeerSocket(EventLoop loop, Config config, Receiver receiver, Counters counters) {
        this.config = config;
        this.receiver = receiver;
        this.counters = counters;
        if (config.settings().peers() && config.peerListen() != null) {
            channel = new Bootstrap().group(loop).channel(Transport.BEST.datagram()).handler(new Handler())
                    .bind(config.peerListen()).awaitUninterruptibly().channel(); // what is sent before is lost
        }
    }

    InetSocketAddress address() {
        return channel == null ? null : (InetSocketAddress) channel.localAddress();
    }

    /** Sends to the proxy of this number, or to all of the tier if it is negative. */
    void send(int peer, byte[] message) {
        InetSocketAddress to = peer < 0 ? config.peersAll()
                : peer < config.peers().size() ? config.peers().get(peer) : null;
        if (channel == null || to == null || message.length > MAX_MESSAGE) {
            return;
        }
        counters.did(Work.MESSAGES_SENT);
        channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(message), to));
    }

    /** What does not come from a peer, or is longer than the protocol has it, is dropped. */
    private final class Handler extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            int peer = config.peers().indexOf(packet.sender());
            if (peer >= 0 && packet.content().readableBytes() <= MAX_MESSAGE) {
                counters.did(Work.MESSAGES_HEARD);
                receiver.heard(peer, ByteBufUtil.getBytes(packet.content()));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // A datagram that did not arrive says nothing of the next.
        }
    }
}
