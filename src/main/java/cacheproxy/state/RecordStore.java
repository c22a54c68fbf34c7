package cacheproxy.state;

import cacheproxy.backoff.ExponentialBackoff;
import cacheproxy.backoff.FailureBackoff;
import com.google.gson.JsonElement;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The records of one instance in memory, and the decision what of them is written when. Changed records are appended to
 * the journal, one write at a time and no more often than their kinds ask for; when the journal has grown, all records
 * become a snapshot. After a failed write the next one is a snapshot, as the content of the files is unknown then, and
 * each further failure doubles the delay.
 *
 * <p>Does no I/O: whoever owns the folder carries out {@link #nextWrite} and says how it went by
 * {@link #writeSucceeded} or {@link #writeFailed}. Times are of the monotonic clock, in milliseconds. Not thread-safe.
 *
 * <p>Bounded: one record of each kind, none longer than {@value #MAX_RECORD_BYTES} bytes, a journal of some
 * {@value #MAX_JOURNAL_BYTES} bytes, and over any minute {@value #MAX_BYTES_PER_MINUTE} bytes beside what is urgent.
 */
public final class RecordStore {
    /** The longest record that is kept; counted as characters of its JSON. */
    public static final int MAX_RECORD_BYTES = 512 << 10;
    /** A longer journal becomes a snapshot. */
    public static final int MAX_JOURNAL_BYTES = 512 << 10;
    /** Once so much was written in a minute, only what is urgent is. */
    public static final int MAX_BYTES_PER_MINUTE = 4 << 20;

    private static final double INITIAL_BACKOFF_MS = 1000;
    private static final double MAX_BACKOFF_MS = 60_000;

    private final Map<RecordKind, StoredRecord> records = new EnumMap<>(RecordKind.class);
    private final Set<RecordKind> dirty = EnumSet.noneOf(RecordKind.class);
    private final Map<RecordKind, Double> dirtySince = new EnumMap<>(RecordKind.class);
    private final FailureBackoff backoff =
            new FailureBackoff(new ExponentialBackoff(INITIAL_BACKOFF_MS, MAX_BACKOFF_MS));
    private final WriteBudget budget = new WriteBudget(MAX_BYTES_PER_MINUTE);
    private StateFileHeader header;
    private boolean snapshotNeeded = true;
    private long journalBytes;
    private StateWrite pendingWrite;
    private double backoffUntilMs = Double.NEGATIVE_INFINITY;
    private long bytesWritten;
    private long failedWrites;
    private long oversizedRecords;

    /**
     * Continues from what was read. The first write is a snapshot: it begins a new start with the records that were
     * intact.
     *
     * @param instance the name of the instance that writes
     * @param fleet the name of its fleet
     */
    public RecordStore(OpenedState opened, String instance, String fleet) {
        StateFileHeader found = opened.header();
        header = (found == null ? new StateFileHeader(instance, fleet, 0, 0) : found).nextStart();
        records.putAll(opened.records());
    }

    /** Keeps a record in place of the last of its kind. One that is too long is not kept, and counted. */
    public void put(double nowMs, StoredRecord record) {
        RecordKind kind = record.kind();
        StoredRecord before = records.get(kind);
        JsonElement body = record.body();
        if (before != null && before.body().equals(body) && kind.validAtAnyAge()) {
            return; // neither its content nor its age has changed
        }
        if (body.toString().length() > MAX_RECORD_BYTES) {
            oversizedRecords++;
            return;
        }
        records.put(kind, record);
        if (dirty.add(kind)) {
            dirtySince.put(kind, nowMs);
        }
    }

    /** Another process wrote to the folder until now: the next write is of a later generation than all of its. */
    public void continueAfter(StateFileHeader other) {
        if (other != null && other.generation() >= header.generation()) {
            header = new StateFileHeader(
                    header.instance(),
                    header.fleet(),
                    other.generation(),
                    Math.max(header.starts(), other.starts() + 1));
            snapshotNeeded = true;
        }
    }

    /** What is to be written now, or null. There is no further write until it is said how this one went. */
    public StateWrite nextWrite(double nowMs) {
        if (pendingWrite != null || nowMs < nextWriteAtMs()) {
            return null;
        }
        pendingWrite = snapshotNeeded || journalBytes > MAX_JOURNAL_BYTES ? beginSnapshot() : appendChanges();
        dirty.clear();
        dirtySince.clear();
        return pendingWrite;
    }

    private StateWrite beginSnapshot() {
        header = header.nextGeneration();
        StateWrite.Replace snapshot = snapshotWrite();
        journalBytes = snapshot.journal().length;
        return snapshot;
    }

    private StateWrite appendChanges() {
        List<StoredRecord> changed = dirty.stream().map(records::get).toList();
        byte[] bytes = StateFileFormat.recordLines(changed);
        journalBytes += bytes.length;
        return new StateWrite.Append(bytes);
    }

    /**
     * All records as a snapshot, whatever write is under way; it is to be carried out after that one. For the end of
     * the process, which waits for nothing else.
     */
    public StateWrite finalWrite() {
        header = header.nextGeneration();
        return snapshotWrite();
    }

    private StateWrite.Replace snapshotWrite() {
        byte[] head = StateFileFormat.headerLine(header);
        byte[] body = StateFileFormat.recordLines(records.values());
        byte[] snapshot = new byte[head.length + body.length];
        System.arraycopy(head, 0, snapshot, 0, head.length);
        System.arraycopy(body, 0, snapshot, head.length, body.length);
        return new StateWrite.Replace(snapshot, head);
    }

    /** When {@link #nextWrite} may have something to write; infinite: not before a record changes. */
    public double nextWriteAtMs() {
        if (pendingWrite != null) {
            return Double.POSITIVE_INFINITY;
        }
        double due = snapshotNeeded ? Double.NEGATIVE_INFINITY : Double.POSITIVE_INFINITY;
        for (Map.Entry<RecordKind, Double> change : dirtySince.entrySet()) {
            RecordKind kind = change.getKey();
            double changeDueMs = change.getValue() + kind.writeDelayMs();
            if (!kind.urgent()) {
                changeDueMs = Math.max(changeDueMs, budget.availableAtMs());
            }
            due = Math.min(due, changeDueMs);
        }
        return Math.max(due, backoffUntilMs);
    }

    /** The pending write was carried out and forced to the disk. */
    public void writeSucceeded(double nowMs) {
        budget.written(nowMs, pendingWrite.length());
        bytesWritten += pendingWrite.length();
        snapshotNeeded = false;
        backoff.reset();
        pendingWrite = null;
    }

    /** The pending write failed, or its outcome is unknown. */
    public void writeFailed(double nowMs) {
        failedWrites++;
        snapshotNeeded = true;
        backoffUntilMs = nowMs + backoff.nextDelayMs();
        pendingWrite = null;
    }

    /** The record of a kind, or null. */
    public StoredRecord get(RecordKind kind) {
        return records.get(kind);
    }

    /** Whether there is something that no file holds yet. */
    public boolean hasUnwrittenRecords() {
        return pendingWrite != null || snapshotNeeded || !dirty.isEmpty();
    }

    /** Bytes written since the start. */
    public long bytesWritten() {
        return bytesWritten;
    }

    /** Writes that failed since the start. */
    public long failedWrites() {
        return failedWrites;
    }

    /** Records that were too long to keep. */
    public long oversizedRecords() {
        return oversizedRecords;
    }

    /** The header of the files that were ordered last. */
    public StateFileHeader header() {
        return header;
    }
}
