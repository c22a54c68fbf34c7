package cacheproxy.control;

import com.google.gson.JsonObject;

/** {@code HANDOVER}: the handover phase of an upgrade, as seen by this process. */
final class HandoverCommand implements AdminCommand {
    /** The section of {@code status} that holds the phase. */
    static final String SECTION = "handover";

    @Override
    public String wireName() {
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
