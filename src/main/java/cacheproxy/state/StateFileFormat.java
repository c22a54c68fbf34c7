package cacheproxy.state;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.zip.CRC32C;

/**
 * The format of the state files: lines of {@code CHECKSUM JSON}, the first of which is the header. The checksum is the
 * CRC-32C of the JSON's bytes in eight hexadecimal digits. It detects any change within 32 bits, so a changed byte or a
 * truncated line is detected wherever it is. JSON on one line contains no line feed, so a damaged line does not affect
 * any other line.
 *
 * <table>
 * <caption>Stored names</caption>
 * <tr><td>{@code state}</td><td>{@link StateFileHeader#VERSION}</td></tr>
 * <tr><td>{@code instance}, {@code fleet}, {@code generation}, {@code starts}</td><td>{@link StateFileHeader}</td></tr>
 * <tr><td>{@code kind}</td><td>{@link RecordKind#wireName}</td></tr>
 * <tr><td>{@code told_ms}</td><td>{@link StoredRecord#recordedAtMs}</td></tr>
 * <tr><td>{@code body}</td><td>{@link StoredRecord#body}</td></tr>
 * </table>
 */
final class StateFileFormat {
    /** The longest line that is read, in bytes. */
    static final int MAX_LINE_BYTES = 1 << 20;

    private static final int CHECKSUM_DIGITS = 8;
    /** The upper bound of Unix times, in milliseconds: some 31,000 years. */
    private static final double MAX_TIME_MS = 1e15;

    private StateFileFormat() {}

    /**
     * A line of a file.
     *
     * @param number the line number, from 1
     * @param json its content; empty if the checksum does not match
     */
    record Line(int number, Optional<JsonElement> json) {}

    // ---- writing

    /** The header's line. */
    static byte[] headerLine(StateFileHeader header) {
        JsonObject o = new JsonObject();
        o.addProperty("state", StateFileHeader.VERSION);
        o.addProperty("instance", header.instance());
        o.addProperty("fleet", header.fleet());
        o.addProperty("generation", header.generation());
        o.addProperty("starts", header.starts());
        return line(o);
    }

    /** The lines of several records, concatenated. */
    static byte[] recordLines(Collection<StoredRecord> records) {
        List<byte[]> lines = records.stream().map(r -> line(toJson(r))).toList();
        byte[] all = new byte[lines.stream().mapToInt(l -> l.length).sum()];
        int at = 0;
        for (byte[] line : lines) {
            System.arraycopy(line, 0, all, at, line.length);
            at += line.length;
        }
        return all;
    }

    /** A record in its stored form. */
    static JsonObject toJson(StoredRecord record) {
        JsonObject o = new JsonObject();
        o.addProperty("kind", record.kind().wireName());
        o.addProperty("told_ms", record.recordedAtMs());
        o.add("body", record.body());
        return o;
    }

    private static byte[] line(JsonObject o) {
        byte[] json = o.toString().getBytes(StandardCharsets.UTF_8);
        byte[] line = new byte[CHECKSUM_DIGITS + 1 + json.length + 1];
        byte[] checksum = checksum(json, 0, json.length).getBytes(StandardCharsets.US_ASCII);
        System.arraycopy(checksum, 0, line, 0, CHECKSUM_DIGITS);
        line[CHECKSUM_DIGITS] = ' ';
        System.arraycopy(json, 0, line, CHECKSUM_DIGITS + 1, json.length);
        line[line.length - 1] = '\n';
        return line;
    }

    private static String checksum(byte[] bytes, int from, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, from, length);
        return String.format(Locale.ROOT, "%08x", crc.getValue());
    }

    // ---- reading

    /** All lines of a file; bytes after the last line feed were truncated and count as a damaged line. */
    static List<Line> lines(byte[] file) {
        List<Line> lines = new ArrayList<>();
        int from = 0;
        for (int i = 0; i < file.length; i++) {
            if (file[i] == '\n') {
                lines.add(new Line(lines.size() + 1, parseLine(file, from, i)));
                from = i + 1;
            }
        }
        if (from < file.length) {
            lines.add(new Line(lines.size() + 1, Optional.empty()));
        }
        return lines;
    }

    private static Optional<JsonElement> parseLine(byte[] file, int from, int to) {
        int start = from + CHECKSUM_DIGITS + 1;
        if (to < start || to - from > MAX_LINE_BYTES || file[from + CHECKSUM_DIGITS] != ' ') {
            return Optional.empty();
        }
        String written = new String(file, from, CHECKSUM_DIGITS, StandardCharsets.US_ASCII);
        if (!written.equals(checksum(file, start, to - start))) {
            return Optional.empty();
        }
        try {
            return Optional.of(JsonParser.parseString(new String(file, start, to - start, StandardCharsets.UTF_8)));
        } catch (JsonParseException | IllegalStateException e) {
            return Optional.empty(); // another program wrote it with a matching checksum
        }
    }

    /** The version given in a header's line. */
    static int version(JsonElement headerLine) {
        try {
            return headerLine.getAsJsonObject().get("state").getAsInt();
        } catch (IllegalStateException
                | IllegalArgumentException
                | UnsupportedOperationException
                | NullPointerException e) {
            throw malformed("a header with the field 'state'", headerLine, e);
        }
    }

    /** The header in a line of this version. */
    static StateFileHeader header(JsonElement headerLine) {
        try {
            JsonObject o = headerLine.getAsJsonObject();
            return new StateFileHeader(
                    o.get("instance").getAsString(),
                    o.get("fleet").getAsString(),
                    o.get("generation").getAsLong(),
                    o.get("starts").getAsLong());
        } catch (IllegalStateException
                | IllegalArgumentException
                | UnsupportedOperationException
                | NullPointerException e) {
            throw malformed("a header", headerLine, e);
        }
    }

    /** Parses the stored form of a record; empty for a kind that this version does not know. */
    static Optional<StoredRecord> fromJson(JsonElement json) {
        try {
            JsonObject o = json.getAsJsonObject();
            double recordedAtMs = o.get("told_ms").getAsDouble();
            JsonElement body = o.get("body");
            if (!(recordedAtMs >= 0 && recordedAtMs < MAX_TIME_MS) || body == null) {
                throw new MalformedRecordException("expected 'told_ms' from 0 to 1e15 and a 'body'");
            }
            return RecordKind.fromWireName(o.get("kind").getAsString())
                    .map(kind -> new StoredRecord(kind, recordedAtMs, body));
        } catch (MalformedRecordException e) {
            throw e;
        } catch (IllegalStateException
                | IllegalArgumentException
                | UnsupportedOperationException
                | NullPointerException e) {
            throw malformed("a record", json, e);
        }
    }

    private static MalformedRecordException malformed(String expected, JsonElement found, RuntimeException cause) {
        String text = found.toString();
        MalformedRecordException e = new MalformedRecordException(
                "expected " + expected + ", found " + text.substring(0, Math.min(text.length(), 80)));
        e.initCause(cause);
        return e;
    }
}
