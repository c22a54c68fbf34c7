package cacheproxy.state;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.Optional;

/**
 * One thing that is kept. There is one record of each kind at most; a later one takes its place.
 *
 * @param kind what it is
 * @param recordedAtMs when it came to be known, Unix time in milliseconds
 * @param body what it says, in the form of its kind
 */
public record StoredRecord(RecordKind kind, double recordedAtMs, JsonElement body) {
    /** As it stands in files, and in what a process tells its successor. */
    public JsonObject toJson() {
        return StateFileFormat.json(this);
    }

    /** Reads it; empty for a kind that this version does not know, an exception for what is none. */
    public static Optional<StoredRecord> fromJson(JsonElement json) {
        return StateFileFormat.record(json);
    }

    /** How far it may be used now, by this clock. */
    public Validity validity(double nowMs) {
        return kind.validity(nowMs - recordedAtMs);
    }
}
