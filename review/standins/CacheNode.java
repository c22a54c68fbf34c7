import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.ToIntFunction;
import java.util.function.ToLongFunction;

/**
 * A cache node. Keys tell what it has: "miss-..." it lacks, "big-N-..." has a value of N bytes (at the origin also
 * "miss-big-N-..."), any other a short one.
 * Values are made for the request: they hold its key and its id. Commands are begun as they come and answered in order.
 */
final class CacheNode {
    record Command(String key, String id, double begunMs) {}

    private final Rig rig;
    private final String name;
    private final ServerSocket server = Rig.listen();
    /** How long it works on a command, in milliseconds. */
    volatile ToLongFunction<Command> work = c -> 20;
    /** After how many bytes of the answer the connection is reset; negative for never. */
    volatile ToIntFunction<Command> resetAfter = c -> -1;

    /** Above this many bytes, an answer is written in pieces of this size, one every 50 ms. */
    volatile int pieceBytes = Integer.MAX_VALUE;

    CacheNode(Rig rig, String name) throws IOException {
        this.rig = rig;
        this.name = name;
        Rig.start(name, () -> {
            while (true) {
                try {
                    Socket socket = server.accept();
                    Rig.start(name + " connection", () -> serve(socket));
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
        LinkedBlockingQueue<Command> commands = new LinkedBlockingQueue<>();
        Command end = new Command("", "", 0);
        Rig.start(name + " answers", () -> answer(socket, commands, end));
        try {
            socket.setTcpNoDelay(true);
            Lines in = new Lines(socket.getInputStream());
            for (String line = in.line(); line != null; line = in.line()) {
                String id = Lines.flag(line, 'O');
                if (line.startsWith("mg ") && id != null) {
                    rig.note(name + " got " + line);
                    commands.add(new Command(line.split(" ")[1], id, Rig.now()));
                } else {
                    rig.note(name + " got a line that is no command: " + line);
                    break;
                }
            }
        } catch (IOException e) {
            // The connection is closed.
        }
        commands.add(end);
    }

    private void answer(Socket socket, LinkedBlockingQueue<Command> commands, Command end) {
        try {
            OutputStream out = socket.getOutputStream();
            for (Command command = commands.take(); command != end; command = commands.take()) {
                Rig.sleep((long) Math.max(0, command.begunMs + work.applyAsLong(command) - Rig.now()));
                byte[] whole = answer(command);
                int cut = resetAfter.applyAsInt(command);
                if (cut >= 0) {
                    out.write(whole, 0, Math.min(cut, whole.length));
                    out.flush();
                    Rig.sleep(100); // what was written has arrived: a reset can overtake it
                    Rig.reset(socket);
                    rig.note(name + " reset the connection after " + cut + " bytes of the answer to " + command.id);
                    return;
                }
                for (int at = 0; at < whole.length; at += Math.min(pieceBytes, whole.length - at)) {
                    if (at > 0) {
                        Rig.sleep(50);
                    }
                    out.write(whole, at, Math.min(pieceBytes, whole.length - at));
                    out.flush();
                }
                rig.note(name + " answered " + command.id + " with " + whole.length + " bytes");
            }
        } catch (IOException | InterruptedException e) {
            rig.note(name + " could not write: " + e.getMessage());
        }
        Rig.close(socket);
    }

    private static byte[] answer(Command command) {
        if (command.key.startsWith("miss-")) {
            return Rig.bytes("EN O" + command.id + "\r\n");
        }
        String value = value(command.key, command.id);
        return Rig.bytes("VA " + value.length() + " O" + command.id + " h1\r\n" + value + "\r\n");
    }

    /** The value that belongs to this key and this request. */
    static String value(String key, String id) {
        String mark = "key=" + key + " id=" + id + " ";
        int big = key.indexOf("big-");
        if (big < 0) {
            return mark;
        }
        int size = Integer.parseInt(key.substring(big).split("-")[1]);
        return mark.repeat(size / mark.length() + 1).substring(0, size);
    }
}
