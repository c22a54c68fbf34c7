import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/** Input of one connection: lines that end in CRLF, and bytes. */
final class Lines {
    private final InputStream in;

    Lines(InputStream in, int buffer) {
        this.in = new BufferedInputStream(in, buffer);
    }

    /** The next line without its end; null at the end of the input. */
    String line() throws IOException {
        StringBuilder line = new StringBuilder();
        for (int b; (b = in.read()) >= 0; ) {
            if (b == '\n') {
                int length = line.length();
                return length > 0 && line.charAt(length - 1) == '\r' ? line.substring(0, length - 1) : line.toString();
            }
            line.append((char) b);
        }
        return null;
    }

    /** Whether the input ends within this time, with nothing before its end. */
    boolean endsWithin(Socket socket, int ms) throws IOException {
        socket.setSoTimeout(ms);
        in.mark(1);
        try {
            boolean ended = in.read() < 0;
            if (!ended) {
                in.reset();
            }
            return ended;
        } catch (SocketTimeoutException e) {
            return false;
        } finally {
            socket.setSoTimeout(0);
        }
    }

    byte[] bytes(int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) {
            throw new IOException("input ended");
        }
        return bytes;
    }

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** The flag of a meta command or response that begins with this letter; null if there is none. */
    static String flag(String line, char letter) {
        String[] words = line.split(" ");
        for (int i = 1; i < words.length; i++) {
            if (words[i].length() > 1 && words[i].charAt(0) == letter) {
                return words[i].substring(1);
            }
        }
        return null;
    }
}
