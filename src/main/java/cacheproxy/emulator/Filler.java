package cacheproxy.emulator;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.channels.SocketChannel;

/** An idle connection that occupies a place in a listening socket's accept queue, to keep the queue full. */
final class Filler {
    private final SocketChannel channel;
    private final SocketAddress local;

    /** On return the connection is established, or waits for room in the queue (loopback only). */
    Filler(InetSocketAddress to) {
        try {
            channel = SocketChannel.open();
            channel.configureBlocking(false);
            channel.bind(new InetSocketAddress(
                    to.getAddress(), 0)); // otherwise the local address is unknown until the connection is established
            local = channel.getLocalAddress();
            channel.connect(to);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** The connection's local address. */
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
