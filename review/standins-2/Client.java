import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;

/** One client's connection to a proxy. */
final class Client implements AutoCloseable {
    private final Socket socket = new Socket();
    private final Lines in;

    /** {@code receiveBuffer}: in bytes; 0 for the system's. */
    Client(int port, int receiveBuffer) throws IOException {
        if (receiveBuffer > 0) {
            socket.setReceiveBufferSize(receiveBuffer);
        }
        socket.connect(new InetSocketAddress(Proxy.HOST, port), 2000);
        socket.setTcpNoDelay(true);
        in = new Lines(socket.getInputStream(), receiveBuffer > 0 ? 1024 : 8192);
    }

    void send(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
    }

    /** How long to wait for input. */
    void patience(int ms) throws IOException {
        socket.setSoTimeout(ms);
    }

    static String read(String key, String id, String name, int deadlineMs) {
        return "mg " + key + " v O" + id + " Pc=" + name + ",d=" + deadlineMs + "\r\n";
    }

    static String write(String key, int length, String id, String name, int deadlineMs) {
        return "ms " + key + " " + length + " O" + id + " Pc=" + name + ",d=" + deadlineMs + "\r\n";
    }

    Lines in() {
        return in;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
