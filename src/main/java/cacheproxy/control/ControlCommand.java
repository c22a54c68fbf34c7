package cacheproxy.control;

import com.google.gson.JsonObject;

/** A command that operators can send to a running proxy. Runs on the event loop, so it must not block. */
public interface ControlCommand {
    /**
     * Carries out the command.
     *
     * @return the result, for the answer
     * @throws IllegalArgumentException if it can't be carried out; its message is sent to the client
     */
    JsonObject run(CommandArguments arguments);
}
