package cacheproxy.state;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.zip.CRC32C;

/**
 * The form of the files: lines of {@code CHECKSUM JSON}, the first of them the header. The checksum is CRC-32C of the
 * JSON's bytes in eight hexadecimal digits; it tells any change within 32 bits, so a byte that was changed or a line
 * that was cut short is seen wherever it lies. JSON of one line holds no line feed, so a line that is damaged damages
 * no other.
 */
final class StateFileFormat {
    /** The longest line that is read or written, in bytes. */
    static final int MAX_LINE_BYTES = 1 << 20;

    private static final int CHECKSUM_DIGITS = 8;

    private StateFileFormat() {}

    /** A line as it was read: its number from 1, and what it says; empty where the checksum does not fit. */
    record Line(int number, Optional<JsonElement> json) {}

    static byte[] header(StateFileHeader h) {
        JsonObject o = new JsonObject();
        o.addProperty("state", StateFileHeader.VERSION);
        o.addProperty("instance", h.instance());
        o.addProperty("fleet", h.fleet());
        o.addProperty("generation", h.generation());
        o.addProperty("starts", h.starts());
        return line(o);
    }

    static byte[] records(Collection<StoredRecord> records) {
        List<byte[]> lines = records.stream().map(r -> line(json(r))).toList();
        byte[] all = new byte[lines.stream().mapToInt(l -> l.length).sum()];
        int at = 0;
        for (byte[] l : lines) {
            System.arraycopy(l, 0, all, at, l.length);
            at += l.length;
        }
        return all;
    }

    /** A record as it stands in files and in what a process tells its successor. */
    static JsonObject json(StoredRecord r) {
        JsonObject o = new JsonObject();
        o.addProperty("kind", r.kind().wireName());
        o.addProperty("told_ms", r.recordedAtMs());
        o.add("body", r.body());
        return o;
    }

    /** Reads it; empty for a kind that this version does not know, an exception for what is none. */
    static Optional<StoredRecord> record(JsonElement json) {
        JsonObject o = json.getAsJsonObject();
        double told = o.get("told_ms").getAsDouble();
        JsonElement body = o.get("body");
        if (!(told >= 0 && told < 1e15) || body == null) {
            throw new IllegalArgumentException("no record");
        }
        return RecordKind.fromWireName(o.get("kind").getAsString()).map(k -> new StoredRecord(k, told, body));
    }

    private static byte[] line(JsonObject o) {
        byte[] json = o.toString().getBytes(StandardCharsets.UTF_8);
        byte[] line = new byte[CHECKSUM_DIGITS + 1 + json.length + 1];
        byte[] sum = checksum(json, 0, json.length).getBytes(StandardCharsets.US_ASCII);
        System.arraycopy(sum, 0, line, 0, CHECKSUM_DIGITS);
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

    /** All lines of a file; what lies behind the last line feed was cut short and counts as a damaged line. */
    static List<Line> lines(byte[] file) {
        List<Line> lines = new ArrayList<>();
        int from = 0;
        for (int i = 0; i < file.length; i++) {
            if (file[i] == '\n') {
                lines.add(new Line(lines.size() + 1, json(file, from, i)));
                from = i + 1;
            }
        }
        if (from < file.length) {
            lines.add(new Line(lines.size() + 1, Optional.empty()));
        }
        return lines;
    }

    private static Optional<JsonElement> json(byte[] file, int from, int to) {
        int start = from + CHECKSUM_DIGITS + 1;
        if (to < start
                || to - from > MAX_LINE_BYTES
                || file[from + CHECKSUM_DIGITS] != ' '
                || !new String(file, from, CHECKSUM_DIGITS, StandardCharsets.US_ASCII)
                        .equals(checksum(file, start, to - start))) {
            return Optional.empty();
        }
        try {
            return Optional.of(JsonParser.parseString(new String(file, start, to - start, StandardCharsets.UTF_8)));
        } catch (RuntimeException e) {
            return Optional.empty(); // the checksum fits: written by something else
        }
    }
}
