package cacheproxy.control;

import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;

/**
 * The commands, status sections and metrics of a running proxy. Each subsystem registers its own; the control socket
 * and the admin port serve them. They run on the event loop and must not block. On the event loop only.
 */
public final class ControlRegistry {
    /** The maximum number of characters of an unknown command's name in the answer. */
    private static final int MAX_NAME_SHOWN = 40;

    private final Map<String, ControlCommand> commands = new TreeMap<>();
    private final Map<String, Supplier<JsonObject>> sections = new TreeMap<>();
    private final List<Supplier<List<MetricSample>>> metricSources = new ArrayList<>();

    /** Creates a registry with the commands {@code status} and {@code help}. */
    public ControlRegistry() {
        command("status", arguments -> status());
        command("help", arguments -> help());
    }

    private JsonObject status() {
        JsonObject status = new JsonObject();
        sections.forEach((name, section) -> status.add(name, section.get()));
        return status;
    }

    private JsonObject help() {
        JsonObject help = new JsonObject();
        help.addProperty("commands", String.join(" ", commands.keySet()));
        help.addProperty("sections", String.join(" ", sections.keySet()));
        return help;
    }

    /** Registers a command; its name must be new. */
    public void command(String name, ControlCommand command) {
        if (commands.putIfAbsent(name, command) != null) {
            throw new IllegalStateException("command '" + name + "' is already registered");
        }
    }

    /** Registers a section of {@code status}; its name must be new. */
    public void section(String name, Supplier<JsonObject> section) {
        if (sections.putIfAbsent(name, section) != null) {
            throw new IllegalStateException("status section '" + name + "' is already registered");
        }
    }

    /** The current content of a section of {@code status}; null if there is none of this name. */
    JsonObject section(String name) {
        Supplier<JsonObject> section = sections.get(name);
        return section == null ? null : section.get();
    }

    /**
     * Registers a source of metrics. If there is one, {@code status} shows all metrics in the section {@code figures}.
     */
    public void metrics(Supplier<List<MetricSample>> source) {
        if (metricSources.isEmpty()) {
            section("figures", this::metricsSection);
        }
        metricSources.add(source);
    }

    private JsonObject metricsSection() {
        JsonObject section = new JsonObject();
        metrics().forEach(m -> section.addProperty(m.name(), m.value()));
        return section;
    }

    /** The current values of all metrics. */
    List<MetricSample> metrics() {
        return metricSources.stream().flatMap(source -> source.get().stream()).toList();
    }

    /** Carries out the request on a line and returns the answer, without a line terminator. */
    String answer(String line) {
        try {
            return ControlProtocol.success(run(line)).toString();
        } catch (IllegalArgumentException e) {
            return ControlProtocol.failure(e.getMessage()).toString();
        }
    }

    private JsonObject run(String line) {
        JsonObject request = ControlProtocol.parseRequest(line);
        String name = ControlProtocol.command(request);
        ControlCommand command = commands.get(name);
        if (command == null) {
            String shown = name.substring(0, Math.min(name.length(), MAX_NAME_SHOWN));
            throw new CommandException(
                    "no command '" + shown + "'; there are: " + String.join(", ", commands.keySet()));
        }
        return command.run(new CommandArguments(request));
    }
}
