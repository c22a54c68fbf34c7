package cacheproxy;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.Map;

/** Recorded messages under {@code src/test/resources}. */
public final class WireSamples {
    private WireSamples() {}

    /** Returns the text of a resource, named from the root of the class path. */
    public static String text(String resource) {
        try (InputStream in = WireSamples.class.getResourceAsStream("/" + resource)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the samples of a resource by name, in file order. A line is a name, a space and the bytes in hex. */
    public static Map<String, byte[]> bytes(String resource) {
        Map<String, byte[]> samples = new LinkedHashMap<>();
        text(resource).lines().filter(line -> !line.startsWith("#")).forEach(line -> {
            int space = line.indexOf(' ');
            samples.put(line.substring(0, space), HexFormat.of().parseHex(line.substring(space + 1)));
        });
        return samples;
    }

    /** Formats samples as the lines of such a resource. */
    public static String lines(Map<String, byte[]> samples) {
        StringBuilder lines = new StringBuilder();
        samples.forEach((name, bytes) -> lines.append(name)
                .append(' ')
                .append(HexFormat.of().formatHex(bytes))
                .append('\n'));
        return lines.toString();
    }
}
