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
 * The records of one instance in memory, and the decision when they are written. Changed records are appended to the
 * journal, one write at a time and no more often than their kinds require. When the journal has grown too long, all
 * records are written as a snapshot. A failed write leaves the content of the files unknown, so the next write is a
 * snapshot, and each further failure doubles the delay.
 *
 * <p>Does no I/O: the owner of the folder carries out {@link #nextWrite} and reports the outcome by
 * {@link #writeSucceeded} or {@link #writeFailed}. Times are of the monotonic clock, in milliseconds. Not thread-safe.
 *
 * <p>Bounded: one record of each kind, none longer than {@value #MAX_RECORD_BYTES} bytes, a journal of about
 * {@value #MAX_JOURNAL_BYTES} bytes, and {@value #MAX_BYTES_PER_MINUTE} bytes in any minute, not counting urgent
 * writes.
 */
public final class RecordStore {
    /** The longest record that is kept, in characters of its JSON. */
    public static final int MAX_RECORD_BYTES = 512 << 10;
    /** A journal longer than this is replaced by a snapshot. */
    public static final int MAX_JOURNAL_BYTES = 512 << 10;
    /** After this many bytes in a minute, only urgent changes are written. */
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
     * Continues from the state that was read. The first write is a snapshot with the intact records, and counts as a
     * new start.
     *
     * @param instance the name of the instance that writes
     * @param fleet the name of its fleet
     */
    public RecordStore(OpenedState opened, String instance, String fleet) {
        StateFileHeader found = opened.header();
        header = (found == null ? new StateFileHeader(instance, fleet, 0, 0) : found).nextStart();
        records.putAll(opened.records());
    }

    /** Replaces the record of its kind. A record that is too long is not kept, but counted. */
    public void put(double nowMs, StoredRecord record) {
        RecordKind kind = record.kind();
        StoredRecord before = records.get(kind);
        JsonElement body = record.body();
        if (before != null && before.body().equals(body) && kind.validAtAnyAge()) {
            return; // its content is the same, and its age does not matter
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

    /**
     * Another process has written to the folder until now: the next write has a later generation than all of that
     * process's writes.
     */
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

    /** The write that is due now, or null. There is no further write until the outcome of this one is reported. */
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
     * All records as a snapshot, even if a write is in progress; to be carried out after that one. For the end of the
     * process, which waits for no other write.
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

    /** When {@link #nextWrite} may have something to write; infinite if not before a record changes. */
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

    /** The pending write has been carried out and forced to the disk. */
    public void writeSucceeded(double nowMs) {
        budget.written(nowMs, pendingWrite.length());
        bytesWritten += pendingWrite.length();
        snapshotNeeded = false;
        backoff.reset();
        pendingWrite = null;
    }

    /** The pending write has failed, or its outcome is unknown. */
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

    /** Whether there are changes that no file holds yet. */
    public boolean hasUnwrittenRecords() {
        return pendingWrite != null || snapshotNeeded || !dirty.isEmpty();
    }

    /** The number of bytes written since the start. */
    public long bytesWritten() {
        return bytesWritten;
    }

    /** The number of writes that failed since the start. */
    public long failedWrites() {
        return failedWrites;
    }

    /** The number of records that were too long to keep. */
    public long oversizedRecords() {
        return oversizedRecords;
    }

    /** The header of the latest write. */
    public StateFileHeader header() {
        return header;
    }
}
