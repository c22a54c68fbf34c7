import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** Accepts connections at a free port and serves each on a thread of its own. */
final class Acceptor implements AutoCloseable {
    /** Serves one connection. */
    interface Service {
        void serve(Socket socket) throws Exception;
    }

    private final ServerSocket socket;

    /** {@code receiveBuffer}: of each connection, in bytes; 0 for the system's. */
    Acceptor(int receiveBuffer, Service service) throws IOException {
        socket = new ServerSocket();
        if (receiveBuffer > 0) {
            socket.setReceiveBufferSize(receiveBuffer);
        }
        socket.bind(new java.net.InetSocketAddress(InetAddress.getByName(Proxy.HOST), 0), 200);
        daemon(() -> {
            while (true) {
                Socket accepted = socket.accept();
                accepted.setTcpNoDelay(true);
                daemon(() -> {
                    try (accepted) {
                        service.serve(accepted);
                    } catch (IOException e) {
                        // the connection has ended
                    }
                });
            }
        });
    }

    /** A task that may throw. */
    interface Task {
        void run() throws Exception;
    }

    static Thread daemon(Task task) {
        Thread thread = new Thread(null, () -> {
            try {
                task.run();
            } catch (IOException e) {
                // closed
            } catch (Exception e) {
                Record.line("stand-in failed: %s", e);
            }
        }, "standin", 256 << 10);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    String address() {
        return Proxy.HOST + ":" + socket.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
