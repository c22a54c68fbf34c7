package cacheproxy.state;

import cacheproxy.state.Finding.Severity;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * What the files of a folder hold: whatever is sound of it, and why the rest is not. Does no I/O, and throws for no
 * bytes whatever.
 *
 * @param header whose it is; null if that can't be told
 * @param records what is sound and this instance's
 * @param findings what is the matter, if anything
 */
public record OpenedState(StateFileHeader header, Map<RecordKind, StoredRecord> records, List<Finding> findings) {
    /** The file with all of it, as of some time. */
    public static final String SNAPSHOT = "snapshot";
    /** The file with what has changed since. */
    public static final String JOURNAL = "journal";

    /** Of an empty folder. */
    public static final OpenedState EMPTY = new OpenedState(null, Map.of(), List.of());

    /** One file's. */
    private record Part(StateFileHeader header, Map<RecordKind, StoredRecord> records) {}

    /**
     * Reads both files.
     *
     * @param snapshot null where there is none
     * @param journal null where there is none
     * @param instance whose folder it should be; null to read anybody's
     * @param fleet which fleet's
     */
    public static OpenedState read(byte[] snapshot, byte[] journal, String instance, String fleet) {
        List<Finding> findings = new ArrayList<>();
        Part whole = part(SNAPSHOT, snapshot, instance, fleet, findings);
        Part since = part(JOURNAL, journal, instance, fleet, findings);
        if (findings.stream().anyMatch(f -> f.severity() == Severity.UNUSABLE)) {
            return new OpenedState(
                    null, Map.of(), List.copyOf(findings)); // another's, or a later version's: all of it or nothing
        }
        Map<RecordKind, StoredRecord> records = new EnumMap<>(RecordKind.class);
        if (whole != null) {
            records.putAll(whole.records());
        }
        StateFileHeader header = whole == null ? null : whole.header();
        if (since != null) {
            long behind =
                    header == null ? 0 : header.generation() - since.header().generation();
            if (behind > 0) {
                // Between the two steps of a snapshot: all that it says is in the snapshot.
                findings.add(new Finding(JOURNAL, 0, "is of the snapshot before", Severity.HARMLESS));
            } else {
                if (header == null || behind < 0) {
                    findings.add(new Finding(
                            SNAPSHOT,
                            0,
                            header == null
                                    ? "is missing or unreadable, the journal is not"
                                    : "is older than the journal",
                            Severity.RECORDS_LOST));
                    header = since.header();
                }
                records.putAll(since.records());
            }
        }
        return new OpenedState(header, Map.copyOf(records), List.copyOf(findings));
    }

    private static Part part(String file, byte[] bytes, String instance, String fleet, List<Finding> findings) {
        if (bytes == null) {
            return null;
        }
        List<StateFileFormat.Line> lines = StateFileFormat.lines(bytes);
        StateFileHeader header;
        try {
            Optional<JsonElement> first =
                    lines.isEmpty() ? Optional.empty() : lines.get(0).json();
            if (first.isEmpty()) {
                findings.add(new Finding(file, 1, "can't be read: it was cut short or damaged", Severity.RECORDS_LOST));
                return null;
            }
            JsonObject o = first.get().getAsJsonObject();
            int version = o.get("state").getAsInt();
            if (version != StateFileHeader.VERSION) {
                findings.add(new Finding(
                        file,
                        1,
                        "is of version " + version + ", and this program reads " + StateFileHeader.VERSION,
                        Severity.UNUSABLE));
                return null;
            }
            header = new StateFileHeader(
                    o.get("instance").getAsString(),
                    o.get("fleet").getAsString(),
                    o.get("generation").getAsLong(),
                    o.get("starts").getAsLong());
        } catch (RuntimeException e) {
            findings.add(new Finding(file, 1, "is no file of this program's state", Severity.UNUSABLE));
            return null;
        }
        if (instance != null
                && (!header.instance().equals(instance) || !header.fleet().equals(fleet))) {
            findings.add(new Finding(
                    file,
                    1,
                    "belongs to " + header.instance() + " of fleet '" + header.fleet() + "', not to " + instance
                            + " of fleet '" + fleet + "'",
                    Severity.UNUSABLE));
            return null;
        }
        Map<RecordKind, StoredRecord> records = new EnumMap<>(RecordKind.class);
        for (StateFileFormat.Line l : lines.subList(1, lines.size())) {
            boolean torn = l.json().isEmpty() && l.number() == lines.size() && file.equals(JOURNAL);
            if (l.json().isEmpty()) {
                findings.add(new Finding(
                        file,
                        l.number(),
                        torn ? "ends within a record: the process died in a write" : "is damaged",
                        torn ? Severity.HARMLESS : Severity.RECORDS_LOST));
                continue;
            }
            try {
                StateFileFormat.record(l.json().get()).ifPresent(r -> records.put(r.kind(), r));
            } catch (RuntimeException e) {
                findings.add(new Finding(file, l.number(), "is no record", Severity.RECORDS_LOST));
            }
        }
        return new Part(header, records);
    }
}
