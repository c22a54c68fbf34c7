package cacheproxy.control;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;

/** The arguments of a command, by their names in the request. */
public final class CommandArguments {
    private final JsonObject request;

    CommandArguments(JsonObject request) {
        this.request = request;
    }

    /** Whether there is an argument of this name. */
    boolean has(String name) {
        return request.has(name);
    }

    /**
     * An argument that is a number.
     *
     * @throws CommandException if it is none, or missing
     */
    public double number(String name) {
        JsonElement value = request.get(name);
        try {
            if (isNumber(value)) {
                return value.getAsDouble();
            }
        } catch (NumberFormatException e) {
            // Reported below, as any other value that is no number.
        }
        throw new CommandException("'" + name + "' is to be a number");
    }

    /**
     * An argument that is a string.
     *
     * @throws CommandException if it is none, or missing
     */
    String text(String name) {
        JsonElement value = request.get(name);
        if (value == null
                || !value.isJsonPrimitive()
                || !value.getAsJsonPrimitive().isString()) {
            throw new CommandException("'" + name + "' is to be a word");
        }
        return value.getAsString();
    }

    /** The whole request. */
    JsonObject toJson() {
        return request;
    }

    static boolean isNumber(JsonElement value) {
        return value != null
                && value.isJsonPrimitive()
                && value.getAsJsonPrimitive().isNumber();
    }
}
