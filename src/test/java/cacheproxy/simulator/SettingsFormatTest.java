package cacheproxy.simulator;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.routing.DeduplicationScope;
import cacheproxy.routing.EndpointState;
import cacheproxy.routing.Idempotency;
import cacheproxy.routing.LoadReportSource;
import com.google.gson.JsonElement;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.lang.reflect.RecordComponent;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Pins all values that are read from a settings file in the operators' format, in the order of the fields. */
class SettingsFormatTest {
    private static final Path RESOURCES = Path.of("src/test/resources");

    @Test
    void allFieldsOfASettingsFileAreRead() throws Exception {
        JsonElement file = JsonParser.parseString(Files.readString(RESOURCES.resolve("config.json")));
        Map<String, String> values = new HashMap<>();
        flatten("", file.getAsJsonObject().get("settings"), values);
        List<String> lines = new ArrayList<>();
        print("", new SettingsParser(values).settings(), lines);
        assertThat(String.join("\n", lines) + "\n")
                .isEqualTo(Files.readString(RESOURCES.resolve("simulator/settings-values.txt")));
    }

    /** Pins the operators' names and codes, which stay when a constant is renamed. */
    @Test
    void wireNamesAndCodesAreStable() {
        assertThat(List.of(Idempotency.IDEMPOTENT, Idempotency.KEYED, Idempotency.NON_IDEMPOTENT))
                .extracting(Idempotency::wireName)
                .containsExactly("retryable", "dedup", "fragile");
        assertThat(List.of(DeduplicationScope.ALL, DeduplicationScope.ZONE, DeduplicationScope.CELL))
                .extracting(DeduplicationScope::wireName)
                .containsExactly("all", "zone", "cell");
        assertThat(List.of(LoadReportSource.NONE, LoadReportSource.WITH_RESPONSES, LoadReportSource.BY_HEALTH_CHECK))
                .extracting(LoadReportSource::wireName)
                .containsExactly("silent", "piggyback", "pull");
        assertThat(List.of(EndpointState.REMOVED, EndpointState.DRAINING, EndpointState.READY))
                .extracting(EndpointState::wireCode)
                .containsExactly(0, 1, 2);
        assertThat(EndpointState.ofWireCode(3)).isEmpty();
    }

    /** Prints one value per line, without field names: names may change, values must not. */
    private static void print(String indent, Object value, List<String> lines) throws ReflectiveOperationException {
        if (value instanceof Record) {
            lines.add(indent + "record");
            for (RecordComponent field : value.getClass().getRecordComponents()) {
                print(indent + "  ", field.getAccessor().invoke(value), lines);
            }
        } else if (value instanceof List<?> list) {
            lines.add(indent + "list of " + list.size());
            for (Object each : list) {
                print(indent + "  ", each, lines);
            }
        } else {
            lines.add(indent + wireText(value));
        }
    }

    private static String wireText(Object value) {
        if (value instanceof Idempotency idempotency) {
            return idempotency.wireName();
        }
        if (value instanceof DeduplicationScope scope) {
            return scope.wireName();
        }
        return value instanceof LoadReportSource source ? source.wireName() : String.valueOf(value);
    }

    /**
     * Flattens a file as the proxy does: dots in paths, lists of plain values separated by commas, and the length of a
     * list under {@code .count}.
     */
    private static void flatten(String path, JsonElement value, Map<String, String> values) throws IOException {
        if (value.isJsonObject()) {
            for (Map.Entry<String, JsonElement> field : value.getAsJsonObject().entrySet()) {
                flatten(path.isEmpty() ? field.getKey() : path + "." + field.getKey(), field.getValue(), values);
            }
        } else if (value.isJsonArray()) {
            List<String> plain = new ArrayList<>();
            int index = 0;
            for (JsonElement element : value.getAsJsonArray()) {
                if (element.isJsonPrimitive()) {
                    plain.add(element.getAsString());
                } else {
                    flatten(path + "." + index, element, values);
                }
                index++;
            }
            values.put(path + ".count", Integer.toString(index));
            values.put(path, String.join(",", plain));
        } else {
            values.put(path, value.getAsString());
        }
    }
}
