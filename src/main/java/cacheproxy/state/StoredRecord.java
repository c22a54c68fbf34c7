package cacheproxy.state;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.Optional;

/**
 * One stored record. There is at most one of each kind; a later one replaces it.
 *
 * @param kind its kind
 * @param recordedAtMs when its content was last known to be true, Unix time in milliseconds
 * @param body its content, in the form of its kind
 */
public record StoredRecord(RecordKind kind, double recordedAtMs, JsonElement body) {
    /** Its form in state files and in the state that a process hands over to its successor. */
    public JsonObject toJson() {
        return StateFileFormat.toJson(this);
    }

    /**
     * Parses that form; empty for a kind that this version does not know.
     *
     * @throws MalformedRecordException if the JSON is not a valid record
     */
    public static Optional<StoredRecord> fromJson(JsonElement json) {
        return StateFileFormat.fromJson(json);
    }

    /** How it may be used at this time, Unix time in milliseconds. */
    public Validity validity(double nowMs) {
        return kind.validity(nowMs - recordedAtMs);
    }
}
