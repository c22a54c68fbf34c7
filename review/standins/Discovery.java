import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;

/** Discovery with a list that does not change: a call is answered at once, a watch when its wait is over. */
final class Discovery {
    private final Deployment deployment;
    private final ServerSocket server = Rig.listen();

    Discovery(Deployment deployment) throws IOException {
        this.deployment = deployment;
        Rig.start("discovery", () -> {
            while (true) {
                try {
                    Socket socket = server.accept();
                    Rig.start("discovery call", () -> serve(socket));
                } catch (IOException e) {
                    return;
                }
            }
        });
    }

    int port() {
        return server.getLocalPort();
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            Lines in = new Lines(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (String request = in.line(); request != null; request = in.line()) {
                for (String header = in.line(); header != null && !header.isEmpty(); header = in.line()) {}
                int wait = request.indexOf("timeout_ms=");
                boolean watch = request.contains("since=41") && wait >= 0;
                if (watch) {
                    String rest = request.substring(wait + "timeout_ms=".length());
                    Rig.sleep(Math.min(60_000, Long.parseLong(rest.split("[^0-9]")[0])));
                }
                String body = watch ? "{\"seq\":41,\"whole\":false,\"hosts\":[]}" : deployment.list();
                out.write(Rig.bytes("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                        + body.length() + "\r\n\r\n" + body));
                out.flush();
            }
        } catch (IOException e) {
            // The proxy has closed the connection.
        }
    }
}
