package cacheproxy.control;

import com.google.gson.JsonObject;

/** Where an upgrade stands, as the process that is asked sees it. */
final class HandoverCommand implements AdminCommand {
    /** The section of {@code status} that says the same. */
    static final String SECTION = "handover";

    @Override
    public String word() {
        return "HANDOVER";
    }

    @Override
    public String answer(ControlRegistry registry) {
        JsonObject handover = registry.section(SECTION);
        return handover == null
                ? "ERR nothing is handed over here\n"
                : "OK " + handover.get("phase").getAsString() + "\n";
    }
}
