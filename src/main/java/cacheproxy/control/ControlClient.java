package cacheproxy.control;

import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
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

/** The other end of a control socket: asks and waits for the answer. */
public final class ControlClient implements Closeable {
    /** The proxy's words where it won't or can't do what it was asked. */
    public static final class RefusedException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        RefusedException(String words) {
            super(words);
        }
    }

    private final SocketChannel channel;
    private final BufferedReader in;

    /** Connects; an IOException says that nobody listens there. */
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

    /** A request without arguments. */
    public static JsonObject request(String command) {
        JsonObject request = new JsonObject();
        request.addProperty("v", ControlRegistry.VERSION);
        request.addProperty("command", command);
        return request;
    }

    /**
     * The result of a request.
     *
     * @throws RefusedException with the proxy's words if it refuses
     * @throws IOException if the connection has ended
     */
    public JsonObject ask(JsonObject request) throws IOException {
        ByteBuffer out = ByteBuffer.wrap((request + "\n").getBytes(StandardCharsets.UTF_8));
        while (out.hasRemaining()) {
            channel.write(out);
        }
        String line = in.readLine();
        if (line == null) {
            throw new IOException("the proxy has ended the connection");
        }
        try {
            JsonObject answer = JsonParser.parseString(line).getAsJsonObject();
            if (!answer.get("ok").getAsBoolean()) {
                throw new RefusedException(answer.get("error").getAsString());
            }
            return answer.getAsJsonObject("result");
        } catch (JsonParseException | IllegalStateException | NullPointerException e) {
            throw new IOException("an answer of another protocol: " + line, e);
        }
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }
}
