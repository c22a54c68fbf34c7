package cacheproxy.emulator;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.channels.SocketChannel;

/** A connection that stands in a listening socket's queue and says nothing, so that the queue is full. */
final class Filler {
    private final SocketChannel channel;
    private final SocketAddress local;

    /** On loopback it is up, or waits for room in the queue, when this returns. */
    Filler(InetSocketAddress to) {
        try {
            channel = SocketChannel.open();
            channel.configureBlocking(false);
            channel.bind(new InetSocketAddress(to.getAddress(), 0)); // or the address is not known before it is up
            local = channel.getLocalAddress();
            channel.connect(to);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Its own end's address. */
    SocketAddress local() {
        return local;
    }

    void close() {
        try {
            channel.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
