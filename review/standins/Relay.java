import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Arrays;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.locks.LockSupport;

/** The network between two data centres: passes bytes on in both directions, each after the same delay. */
final class Relay {
    private record Part(byte[] bytes, double dueMs) {}

    private final ServerSocket server = Rig.listen();
    private final int target;
    private final double delayMs;

    Relay(int target, double delayMs) throws IOException {
        this.target = target;
        this.delayMs = delayMs;
        Rig.start("relay", () -> {
            while (true) {
                try {
                    Socket socket = server.accept();
                    Rig.start("relay connection", () -> join(socket));
                } catch (IOException e) {
                    return;
                }
            }
        });
    }

    int port() {
        return server.getLocalPort();
    }

    private void join(Socket near) {
        try {
            Socket far = new Socket("127.0.0.1", target);
            near.setTcpNoDelay(true);
            far.setTcpNoDelay(true);
            pass(near, far);
            pass(far, near);
        } catch (IOException e) {
            Rig.close(near);
        }
    }

    private void pass(Socket from, Socket to) {
        LinkedBlockingQueue<Part> parts = new LinkedBlockingQueue<>();
        Rig.start("relay in", () -> {
            byte[] buffer = new byte[64 << 10];
            try {
                InputStream in = from.getInputStream();
                for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                    parts.add(new Part(Arrays.copyOf(buffer, n), Rig.now() + delayMs));
                }
            } catch (IOException e) {
                // The connection is closed.
            }
            parts.add(new Part(null, Rig.now() + delayMs));
        });
        Rig.start("relay out", () -> {
            try {
                OutputStream out = to.getOutputStream();
                while (true) {
                    Part part = parts.take();
                    for (double left = part.dueMs - Rig.now(); left > 0; left = part.dueMs - Rig.now()) {
                        LockSupport.parkNanos((long) (left * 1e6));
                    }
                    if (part.bytes == null) {
                        break;
                    }
                    out.write(part.bytes);
                }
            } catch (IOException | InterruptedException e) {
                // The connection is closed.
            }
            Rig.close(to);
            Rig.close(from);
        });
    }
}
