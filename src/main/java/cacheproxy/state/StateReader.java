package cacheproxy.state;

import cacheproxy.state.Finding.Severity;
import com.google.gson.JsonElement;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Reads the snapshot and the journal of a state folder from their bytes and merges them. Does no I/O and never throws,
 * whatever the bytes are: each problem is a {@link Finding}.
 */
public final class StateReader {
    /** The file that holds all records as of its generation. */
    public static final String SNAPSHOT = "snapshot";
    /** The file that holds the records changed since then. */
    public static final String JOURNAL = "journal";

    /** The readable content of one file. */
    private record FileContent(StateFileHeader header, Map<RecordKind, StoredRecord> records) {}

    private final String instance;
    private final String fleet;
    private final List<Finding> findings = new ArrayList<>();

    private StateReader(String instance, String fleet) {
        this.instance = instance;
        this.fleet = fleet;
    }

    /**
     * Reads both files.
     *
     * @param snapshot null if there is none
     * @param journal null if there is none
     * @param instance the instance to which the folder should belong; null accepts any instance
     * @param fleet the fleet to which it should belong
     */
    public static OpenedState read(byte[] snapshot, byte[] journal, String instance, String fleet) {
        return new StateReader(instance, fleet).read(snapshot, journal);
    }

    private OpenedState read(byte[] snapshot, byte[] journal) {
        FileContent base = readFile(SNAPSHOT, snapshot);
        FileContent changes = readFile(JOURNAL, journal);
        if (findings.stream().anyMatch(f -> f.severity() == Severity.UNUSABLE)) {
            // A folder with a file of another instance or version is not used at all.
            return new OpenedState(null, Map.of(), List.copyOf(findings));
        }
        return merge(base, changes);
    }

    private OpenedState merge(FileContent snapshot, FileContent journal) {
        Map<RecordKind, StoredRecord> records = new EnumMap<>(RecordKind.class);
        StateFileHeader header = null;
        if (snapshot != null) {
            records.putAll(snapshot.records());
            header = snapshot.header();
        }
        if (journal != null && journalApplies(header, journal.header())) {
            records.putAll(journal.records());
            if (header == null || header.generation() < journal.header().generation()) {
                header = journal.header();
            }
        }
        return new OpenedState(header, Map.copyOf(records), List.copyOf(findings));
    }

    /** Whether the journal's records are as new as the snapshot's, or newer. */
    private boolean journalApplies(StateFileHeader snapshot, StateFileHeader journal) {
        if (snapshot == null) {
            findings.add(
                    new Finding(SNAPSHOT, 0, "is missing or unreadable, the journal is not", Severity.RECORDS_LOST));
            return true;
        }
        if (journal.generation() < snapshot.generation()) {
            // The process died between the two steps of a snapshot; the snapshot holds all records of the journal.
            findings.add(new Finding(JOURNAL, 0, "is of the snapshot before", Severity.HARMLESS));
            return false;
        }
        if (journal.generation() > snapshot.generation()) {
            findings.add(new Finding(SNAPSHOT, 0, "is older than the journal", Severity.RECORDS_LOST));
        }
        return true;
    }

    /** The content of a file; null if there is no file, or it can't be used. */
    private FileContent readFile(String file, byte[] bytes) {
        if (bytes == null) {
            return null;
        }
        List<StateFileFormat.Line> lines = StateFileFormat.lines(bytes);
        StateFileHeader header = readHeader(file, lines);
        if (header == null || !isExpectedOwner(file, header)) {
            return null;
        }
        return new FileContent(header, readRecords(file, lines));
    }

    private StateFileHeader readHeader(String file, List<StateFileFormat.Line> lines) {
        Optional<JsonElement> first =
                lines.isEmpty() ? Optional.empty() : lines.get(0).json();
        if (first.isEmpty()) {
            findings.add(new Finding(file, 1, "can't be read: it was cut short or damaged", Severity.RECORDS_LOST));
            return null;
        }
        try {
            int version = StateFileFormat.version(first.get());
            if (version == StateFileHeader.VERSION) {
                return StateFileFormat.header(first.get());
            }
            findings.add(new Finding(
                    file,
                    1,
                    "is of version " + version + ", and this program reads " + StateFileHeader.VERSION,
                    Severity.UNUSABLE));
        } catch (MalformedRecordException e) {
            findings.add(new Finding(file, 1, "is no file of this program's state", Severity.UNUSABLE));
        }
        return null;
    }

    private boolean isExpectedOwner(String file, StateFileHeader header) {
        if (instance == null
                || (header.instance().equals(instance) && header.fleet().equals(fleet))) {
            return true;
        }
        findings.add(new Finding(
                file,
                1,
                "belongs to " + header.instance() + " of fleet '" + header.fleet() + "', not to " + instance
                        + " of fleet '" + fleet + "'",
                Severity.UNUSABLE));
        return false;
    }

    /** The last intact record of each kind. */
    private Map<RecordKind, StoredRecord> readRecords(String file, List<StateFileFormat.Line> lines) {
        Map<RecordKind, StoredRecord> records = new EnumMap<>(RecordKind.class);
        for (StateFileFormat.Line line : lines.subList(1, lines.size())) {
            if (line.json().isEmpty()) {
                boolean last = line.number() == lines.size();
                findings.add(damagedLine(file, line.number(), last));
                continue;
            }
            try {
                StateFileFormat.fromJson(line.json().get()).ifPresent(r -> records.put(r.kind(), r));
            } catch (MalformedRecordException e) {
                findings.add(new Finding(file, line.number(), "is no record", Severity.RECORDS_LOST));
            }
        }
        return records;
    }

    /** A crash can damage only the last line of the journal: all other writes were forced to the disk. */
    private static Finding damagedLine(String file, int line, boolean last) {
        return last && file.equals(JOURNAL)
                ? new Finding(file, line, "ends within a record: the process died in a write", Severity.HARMLESS)
                : new Finding(file, line, "is damaged", Severity.RECORDS_LOST);
    }
}
