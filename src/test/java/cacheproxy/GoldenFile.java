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

/** Golden files under src/test/resources: recorded output of the program for comparison. */
public final class GoldenFile {
    private static final Path ROOT = Path.of("src/test/resources");
    private static final Gson PRETTY = new GsonBuilder()
            .setPrettyPrinting()
            .disableHtmlEscaping()
            .serializeNulls()
            .create();

    private GoldenFile() {}

    /** Returns the path of the file or folder with this name. */
    public static Path path(String name) {
        return ROOT.resolve(name);
    }

    /** Returns all bytes of the file. */
    public static byte[] bytes(String name) {
        try {
            return Files.readAllBytes(path(name));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the file as text. */
    public static String text(String name) {
        return new String(bytes(name), StandardCharsets.UTF_8);
    }

    /** Returns the file as JSON. */
    public static JsonElement json(String name) {
        return JsonParser.parseString(text(name));
    }

    /** Asserts that the file contains exactly this text. */
    public static void assertText(String name, String actual) {
        assertThat(actual).as(name).isEqualTo(text(name));
    }

    /** Asserts that the file contains exactly this JSON, with its fields in this order. */
    public static void assertJson(String name, JsonElement actual) {
        assertText(name, PRETTY.toJson(actual) + "\n");
    }
}
