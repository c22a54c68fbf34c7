package cacheproxy.control;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;

/** The arguments of a command by name. */
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
     * A numeric argument.
     *
     * @throws CommandException if it is missing or not a number
     */
    public double number(String name) {
        JsonElement value = request.get(name);
        try {
            if (isNumber(value)) {
                return value.getAsDouble();
            }
        } catch (NumberFormatException e) {
            // Reported below, like any other value that is not a number.
        }
        throw new CommandException("'" + name + "' is to be a number");
    }

    /**
     * A string argument.
     *
     * @throws CommandException if it is missing or not a string
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
