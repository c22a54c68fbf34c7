package cacheproxy.control;

import cacheproxy.metrics.RequestTrace;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.List;
import java.util.function.Function;

/** The command {@code trace}: the steps of the request whose id is the argument {@code id}. */
final class TraceControl {
    private TraceControl() {}

    /** {@code steps}: finds the steps of a request by its id. */
    static void register(ControlRegistry registry, Function<String, List<RequestTrace.Entry>> steps) {
        registry.command("trace", arguments -> toJson(steps.apply(arguments.text("id"))));
    }

    private static JsonObject toJson(List<RequestTrace.Entry> steps) {
        JsonArray array = new JsonArray();
        steps.forEach(step -> array.add(toJson(step)));
        JsonObject result = new JsonObject();
        result.add("steps", array);
        return result;
    }

    private static JsonObject toJson(RequestTrace.Entry step) {
        JsonObject json = new JsonObject();
        json.addProperty("at_ms", step.atMs());
        json.addProperty("step", step.step().key());
        if (step.attempt() >= 0) {
            json.addProperty("attempt", step.attempt());
            json.addProperty("server", Integer.toHexString(step.server()));
        }
        if (!step.detail().isEmpty()) {
            json.addProperty("detail", step.detail());
        }
        return json;
    }
}
