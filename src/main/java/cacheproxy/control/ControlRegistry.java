package cacheproxy.control;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;

/**
 * What can be asked of a running proxy. Each subsystem registers its part of {@code status}, its figures and its
 * commands; all of them run on the event loop and must not wait. The control socket and the door are two faces of it.
 * Used on the event loop only.
 */
public final class ControlRegistry {
    /** The protocol's version. */
    public static final int VERSION = 1;

    /** Carries a command out. An IllegalArgumentException says what is wrong with its arguments. */
    public interface Command {
        /** The result, for the answer. */
        JsonObject run(JsonObject arguments);
    }

    private final Map<String, Command> commands = new TreeMap<>();
    private final Map<String, Supplier<JsonObject>> sections = new TreeMap<>();
    private final List<Supplier<List<MetricSample>>> figures = new ArrayList<>();

    /** With the commands {@code status} and {@code help}. */
    public ControlRegistry() {
        command("status", arguments -> {
            JsonObject all = new JsonObject();
            sections.forEach((name, section) -> all.add(name, section.get()));
            return all;
        });
        command("help", arguments -> {
            JsonObject all = new JsonObject();
            all.addProperty("commands", String.join(" ", commands.keySet()));
            all.addProperty("sections", String.join(" ", sections.keySet()));
            return all;
        });
    }

    /** Adds a command; its name is new. */
    public void command(String name, Command command) {
        if (commands.putIfAbsent(name, command) != null) {
            throw new IllegalStateException("a second command " + name);
        }
    }

    /** Adds a section to {@code status}; its name is new. */
    public void section(String name, Supplier<JsonObject> section) {
        if (sections.putIfAbsent(name, section) != null) {
            throw new IllegalStateException("a second section " + name);
        }
    }

    /** One section of {@code status} as it is now; null if there is none of this name. */
    JsonObject section(String name) {
        Supplier<JsonObject> section = sections.get(name);
        return section == null ? null : section.get();
    }

    /** Adds figures; where there are any, {@code status} shows them all in a section of their own. */
    public void figures(Supplier<List<MetricSample>> some) {
        if (figures.isEmpty()) {
            section("figures", () -> {
                JsonObject o = new JsonObject();
                figures().forEach(f -> o.addProperty(f.name(), f.value()));
                return o;
            });
        }
        figures.add(some);
    }

    /** All figures as they are now. */
    List<MetricSample> figures() {
        return figures.stream().flatMap(some -> some.get().stream()).toList();
    }

    /** Answers one line. */
    String answer(String line) {
        JsonObject answer = new JsonObject();
        answer.addProperty("v", VERSION);
        try {
            JsonObject result = run(line);
            answer.addProperty("ok", true);
            answer.add("result", result);
        } catch (IllegalArgumentException e) {
            answer.addProperty("ok", false);
            answer.addProperty("error", e.getMessage());
        }
        return answer.toString();
    }

    private JsonObject run(String line) {
        JsonObject request;
        try {
            request = JsonParser.parseString(line).getAsJsonObject();
        } catch (JsonParseException | IllegalStateException e) {
            throw new IllegalArgumentException("not a JSON object on one line");
        }
        JsonElement version = request.get("v");
        if (!isNumber(version) || version.getAsDouble() != VERSION) {
            throw new IllegalArgumentException("this speaks version " + VERSION + "; say \"v\":" + VERSION);
        }
        JsonElement name = request.get("command");
        String word = name != null && name.isJsonPrimitive() ? name.getAsString() : "";
        Command command = commands.get(word);
        if (command == null) {
            throw new IllegalArgumentException("no command '" + (word.length() > 40 ? word.substring(0, 40) : word)
                    + "'; there are: " + String.join(", ", commands.keySet()));
        }
        return command.run(request);
    }

    private static boolean isNumber(JsonElement e) {
        return e != null && e.isJsonPrimitive() && e.getAsJsonPrimitive().isNumber();
    }

    /** A figure among a command's arguments; an IllegalArgumentException where it is none or missing. */
    public static double number(JsonObject arguments, String name) {
        JsonElement value = arguments.get(name);
        try {
            if (isNumber(value)) {
                return value.getAsDouble();
            }
        } catch (NumberFormatException e) {
            // told below
        }
        throw new IllegalArgumentException("'" + name + "' is to be a number");
    }
}
