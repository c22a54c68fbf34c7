package cacheproxy;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonElement;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** A file under src/test/resources that holds what the program wrote when the file was made, for comparison. */
public final class GoldenFile {
    private static final Path ROOT = Path.of("src/test/resources");
    private static final Gson PRETTY = new GsonBuilder()
            .setPrettyPrinting()
            .disableHtmlEscaping()
            .serializeNulls()
            .create();

    private GoldenFile() {}

    /** Where a file or folder of this name lies. */
    public static Path path(String name) {
        return ROOT.resolve(name);
    }

    /** All bytes of the file. */
    public static byte[] bytes(String name) {
        try {
            return Files.readAllBytes(path(name));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** The file as text. */
    public static String text(String name) {
        return new String(bytes(name), StandardCharsets.UTF_8);
    }

    /** The file as JSON. */
    public static JsonElement json(String name) {
        return JsonParser.parseString(text(name));
    }

    /** Fails unless the file holds exactly this text. */
    public static void assertText(String name, String actual) {
        assertThat(actual).as(name).isEqualTo(text(name));
    }

    /** Fails unless the file holds exactly this JSON, its fields in this order. */
    public static void assertJson(String name, JsonElement actual) {
        assertText(name, PRETTY.toJson(actual) + "\n");
    }
}
