package cacheproxy.emulator;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A plain socket to an emulated server, in the place of a proxy. */
final class Peer implements Closeable {
    private final Socket socket = new Socket();
    private final InputStream in;

    Peer(InetSocketAddress to) throws IOException {
        socket.connect(to, 10_000);
        socket.setSoTimeout(20_000);
        in = new BufferedInputStream(socket.getInputStream());
    }

    Peer say(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        return this;
    }

    Peer read(String key, String id) throws IOException {
        return say("mg " + key + " v O" + id + " Pc=seg-text,d=1000\r\n");
    }

    String line() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b; (b = in.read()) != '\n'; ) {
            if (b < 0) {
                return null;
            }
            line.write(b);
        }
        return line.toString(StandardCharsets.ISO_8859_1).trim();
    }

    /** Whether unread data has arrived. */
    boolean heard() throws IOException {
        return in.available() > 0;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
