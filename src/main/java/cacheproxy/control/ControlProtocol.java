package cacheproxy.control;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;

/**
 * The control socket's protocol: each request and each answer is a JSON object on one line.
 *
 * <table>
 * <caption>Fields</caption>
 * <tr><td>{@code v}</td><td>request and answer: {@link #VERSION}</td></tr>
 * <tr><td>{@code command}</td><td>request: the command's name; its arguments are further fields</td></tr>
 * <tr><td>{@code ok}</td><td>answer: whether the command was carried out</td></tr>
 * <tr><td>{@code result}</td><td>answer, if {@code ok} is true: the command's result</td></tr>
 * <tr><td>{@code error}</td><td>answer, if {@code ok} is false: the reason, as text</td></tr>
 * </table>
 */
final class ControlProtocol {
    static final int VERSION = 1;

    private static final String VERSION_FIELD = "v";
    private static final String COMMAND_FIELD = "command";
    private static final String OK_FIELD = "ok";
    private static final String RESULT_FIELD = "result";
    private static final String ERROR_FIELD = "error";

    private ControlProtocol() {}

    /** Creates a request without arguments. */
    static JsonObject request(String command) {
        JsonObject request = new JsonObject();
        request.addProperty(VERSION_FIELD, VERSION);
        request.addProperty(COMMAND_FIELD, command);
        return request;
    }

    /**
     * Parses a request.
     *
     * @throws CommandException if the line is not a request of this version
     */
    static JsonObject parseRequest(String line) {
        JsonObject request;
        try {
            request = JsonParser.parseString(line).getAsJsonObject();
        } catch (JsonParseException | IllegalStateException e) {
            throw new CommandException("not a JSON object on one line");
        }
        JsonElement version = request.get(VERSION_FIELD);
        if (!CommandArguments.isNumber(version) || version.getAsDouble() != VERSION) {
            throw new CommandException("this speaks version " + VERSION + "; say \"v\":" + VERSION);
        }
        return request;
    }

    /** The name of the requested command; empty if there is none. */
    static String command(JsonObject request) {
        JsonElement name = request.get(COMMAND_FIELD);
        return name != null && name.isJsonPrimitive() ? name.getAsString() : "";
    }

    /** The answer to a command that was carried out. */
    static JsonObject success(JsonObject result) {
        JsonObject answer = new JsonObject();
        answer.addProperty(VERSION_FIELD, VERSION);
        answer.addProperty(OK_FIELD, true);
        answer.add(RESULT_FIELD, result);
        return answer;
    }

    /** The answer to a request that could not be carried out. */
    static JsonObject failure(String reason) {
        JsonObject answer = new JsonObject();
        answer.addProperty(VERSION_FIELD, VERSION);
        answer.addProperty(OK_FIELD, false);
        answer.addProperty(ERROR_FIELD, reason);
        return answer;
    }

    /**
     * Parses an answer and returns its result.
     *
     * @throws ControlClient.RefusedException with the proxy's reason if the command was not carried out
     * @throws JsonParseException or another unchecked exception if the answer does not follow the protocol
     */
    static JsonObject result(String line) {
        JsonObject answer = JsonParser.parseString(line).getAsJsonObject();
        if (!answer.get(OK_FIELD).getAsBoolean()) {
            throw new ControlClient.RefusedException(answer.get(ERROR_FIELD).getAsString());
        }
        return answer.getAsJsonObject(RESULT_FIELD);
    }
}
