import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/** Reads lines and counted bytes from a stream, with a buffer of its own. */
final class Lines {
    private final InputStream in;
    private final byte[] buffer = new byte[16 << 10];
    private int from;
    private int to;

    Lines(InputStream in) {
        this.in = in;
    }

    /** The next byte; -1 at the end. */
    int read() throws IOException {
        if (from == to) {
            from = 0;
            to = Math.max(0, in.read(buffer));
            if (to == 0) {
                return -1;
            }
        }
        return buffer[from++] & 0xff;
    }

    /** The next line without its end; null at the end of the stream. */
    String line() throws IOException {
        StringBuilder line = new StringBuilder();
        for (int b = read(); b != '\n'; b = read()) {
            if (b < 0) {
                return null;
            }
            line.append((char) b);
        }
        int length = line.length();
        return length > 0 && line.charAt(length - 1) == '\r' ? line.substring(0, length - 1) : line.toString();
    }

    /** So many bytes; null if the stream ends before. */
    byte[] bytes(int count) throws IOException {
        byte[] bytes = new byte[count];
        int done = 0;
        while (done < count) {
            if (from < to) {
                int n = Math.min(count - done, to - from);
                System.arraycopy(buffer, from, bytes, done, n);
                from += n;
                done += n;
            } else {
                int n = in.read(bytes, done, count - done);
                if (n < 0) {
                    return null;
                }
                done += n;
            }
        }
        return bytes;
    }

    /** The flag of a command or an answer that begins with this letter; null if there is none. */
    static String flag(String line, char letter) {
        String[] words = line.split(" ");
        for (int i = 1; i < words.length; i++) {
            if (!words[i].isEmpty() && words[i].charAt(0) == letter && (letter != 'O' || i > 1)) {
                return words[i].substring(1);
            }
        }
        return null;
    }

    static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }
}
