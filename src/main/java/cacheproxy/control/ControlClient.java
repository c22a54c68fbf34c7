package cacheproxy.control;

import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.Channels;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/** A blocking client of a control socket. Not thread-safe. */
public final class ControlClient implements Closeable {
    /** Thrown if the proxy can't carry out the command; its message is the proxy's reason. */
    public static final class RefusedException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        RefusedException(String reason) {
            super(reason);
        }
    }

    private final SocketChannel channel;
    private final BufferedReader in;

    /**
     * Connects.
     *
     * @throws IOException if no proxy listens at this path
     */
    public ControlClient(Path path) throws IOException {
        channel = SocketChannel.open(StandardProtocolFamily.UNIX);
        try {
            channel.connect(UnixDomainSocketAddress.of(path));
        } catch (IOException e) {
            channel.close();
            throw new IOException(
                    "no proxy listens at " + path + " (" + e.getMessage() + "); was it started with --control?", e);
        }
        in = new BufferedReader(Channels.newReader(channel, StandardCharsets.UTF_8));
    }

    /** Creates a request without arguments. */
    public static JsonObject request(String command) {
        return ControlProtocol.request(command);
    }

    /**
     * Sends a request and waits for its result.
     *
     * @throws RefusedException if the proxy can't carry it out
     * @throws IOException if the connection was closed, or the answer does not follow the protocol
     */
    public JsonObject call(JsonObject request) throws IOException {
        ByteBuffer out = ByteBuffer.wrap((request + "\n").getBytes(StandardCharsets.UTF_8));
        while (out.hasRemaining()) {
            channel.write(out);
        }
        String line = in.readLine();
        if (line == null) {
            throw new IOException("the proxy closed the connection");
        }
        try {
            return ControlProtocol.result(line);
        } catch (JsonParseException | IllegalStateException | NullPointerException e) {
            throw new IOException("malformed answer: " + line, e);
        }
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }
}
