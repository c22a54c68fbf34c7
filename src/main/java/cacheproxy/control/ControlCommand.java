package cacheproxy.control;

import com.google.gson.JsonObject;

/** A command that operators can give a running proxy. Runs on the event loop, so it must not block. */
public interface ControlCommand {
    /**
     * Carries it out.
     *
     * @return the result, for the answer
     * @throws IllegalArgumentException if it can't be carried out; its message is the reason for whoever asked
     */
    JsonObject run(CommandArguments arguments);
}
