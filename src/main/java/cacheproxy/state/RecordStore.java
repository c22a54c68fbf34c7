package cacheproxy.state;

import com.google.gson.JsonElement;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides what is written and when: what has changed goes to the journal, in one piece at a time and no more often than
 * its kinds ask for; when the journal has grown, all of it becomes a snapshot. Takes times, gives orders; whoever owns
 * the folder carries them out and says how that went. After a failure the next order is a snapshot, as nobody knows
 * what the files hold, and each further failure doubles the wait.
 *
 * <p>Bounded: one record a kind, none longer than {@value #MOST_RECORD} bytes, a journal of {@value #MOST_JOURNAL}
 * bytes, and over any minute no more than {@value #MOST_MINUTE} bytes but that what is urgent is written.
 */
public final class RecordStore {
    /** The longest record that is kept, in bytes. */
    public static final int MAX_RECORD_BYTES = 512 << 10;
    /** A longer journal becomes a snapshot. */
    public static final int MAX_JOURNAL_BYTES = 512 << 10;
    /** What may be written in a minute; beyond it only what is urgent is. */
    public static final int MAX_BYTES_PER_MINUTE = 4 << 20;

    private static final double MINUTE_MS = 60_000;
    private static final double INITIAL_BACKOFF_MS = 1000;
    private static final double MAX_BACKOFF_MS = 60_000;
    /** A kind that may be gathered for no longer than this is urgent. */
    private static final double URGENT_MS = 100;

    /** Something to write. */
    public sealed interface Write {
        /** To be added to the journal. */
        record Append(byte[] bytes) implements Write {}

        /** To take the place of both files: first the snapshot, then the journal. */
        record Replace(byte[] snapshot, byte[] journal) implements Write {}
    }

    private final Map<RecordKind, StoredRecord> records = new EnumMap<>(RecordKind.class);
    private final Set<RecordKind> dirty = EnumSet.noneOf(RecordKind.class);
    private final Map<RecordKind, Double> dirtySince = new EnumMap<>(RecordKind.class);
    private StateFileHeader header;
    private boolean snapshotNeeded = true;
    private long journalBytes;
    private Write pendingWrite;
    private double againMs;
    private double backoffUntilMs = Double.NEGATIVE_INFINITY;
    private double minuteStartMs = Double.NEGATIVE_INFINITY;
    private long bytesThisMinute;
    private long bytesWritten;
    private long failedWrites;
    private long oversizedRecords;

    /**
     * Goes on from what was found. The first order is a snapshot: of a new start, of what was sound.
     *
     * @param instance whose it is
     * @param fleet which fleet's
     */
    public RecordStore(OpenedState opened, String instance, String fleet) {
        StateFileHeader found = opened.header();
        header = (found == null ? new StateFileHeader(instance, fleet, 0, 0) : found).nextStart();
        records.putAll(opened.records());
    }

    /**
     * Keeps a record in place of the last of its kind. {@code nowMs} is monotonic; the record's own time is the wall
     * clock's.
     */
    public void put(double nowMs, StoredRecord r) {
        StoredRecord before = records.get(r.kind());
        JsonElement body = r.body();
        if (before != null && before.body().equals(body) && before.kind().validForMs() == Double.POSITIVE_INFINITY) {
            return; // it ages as little as it has changed
        }
        if (body.toString().length() > MAX_RECORD_BYTES) {
            oversizedRecords++;
            return;
        }
        records.put(r.kind(), r);
        if (dirty.add(r.kind())) {
            dirtySince.put(r.kind(), nowMs);
        }
    }

    /** Another process wrote here until now: what is written next is after all of its. */
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

    /** What is to be written now, or null. Nothing more is ordered until it has been told how that went. */
    public Write nextWrite(double nowMs) {
        if (pendingWrite != null || nowMs < nextWriteAtMs()) {
            return null;
        }
        if (snapshotNeeded || journalBytes > MAX_JOURNAL_BYTES) {
            header = header.nextGeneration();
            Write.Replace all = snapshotWrite();
            journalBytes = all.journal().length;
            pendingWrite = all;
        } else {
            List<StoredRecord> changed = dirty.stream().map(records::get).toList();
            byte[] bytes = StateFileFormat.records(changed);
            pendingWrite = new Write.Append(bytes);
            journalBytes += bytes.length;
        }
        dirty.clear();
        dirtySince.clear();
        return pendingWrite;
    }

    /**
     * All of it as a snapshot, whatever is under way: the end of the process waits for nothing else. Carried out after
     * what was ordered before.
     */
    public Write finalWrite() {
        header = header.nextGeneration();
        return snapshotWrite();
    }

    private Write.Replace snapshotWrite() {
        byte[] head = StateFileFormat.header(header);
        byte[] body = StateFileFormat.records(records.values());
        byte[] snapshot = new byte[head.length + body.length];
        System.arraycopy(head, 0, snapshot, 0, head.length);
        System.arraycopy(body, 0, snapshot, head.length, body.length);
        return new Write.Replace(snapshot, head);
    }

    /** When {@link #nextWrite} may have an order, on the monotonic clock; infinite for not before something is put. */
    public double nextWriteAtMs() {
        if (pendingWrite != null) {
            return Double.POSITIVE_INFINITY;
        }
        double due = snapshotNeeded ? Double.NEGATIVE_INFINITY : Double.POSITIVE_INFINITY;
        for (Map.Entry<RecordKind, Double> e : dirtySince.entrySet()) {
            double gather = e.getKey().writeDelayMs();
            double at = e.getValue() + gather;
            if (gather > URGENT_MS && bytesThisMinute >= MAX_BYTES_PER_MINUTE) {
                at = Math.max(at, minuteStartMs + MINUTE_MS);
            }
            due = Math.min(due, at);
        }
        return Math.max(due, backoffUntilMs);
    }

    /** The last order was carried out and will outlast the machine's end. */
    public void writeSucceeded(double nowMs) {
        if (nowMs - minuteStartMs >= MINUTE_MS) {
            minuteStartMs = nowMs;
            bytesThisMinute = 0;
        }
        bytesThisMinute += bytes(pendingWrite);
        bytesWritten += bytes(pendingWrite);
        snapshotNeeded = false;
        againMs = 0;
        pendingWrite = null;
    }

    /** It was not, or nobody knows. */
    public void writeFailed(double nowMs) {
        failedWrites++;
        snapshotNeeded = true;
        againMs = againMs == 0 ? INITIAL_BACKOFF_MS : Math.min(MAX_BACKOFF_MS, 2 * againMs);
        backoffUntilMs = nowMs + againMs;
        pendingWrite = null;
    }

    private static long bytes(Write w) {
        return w instanceof Write.Append a
                ? a.bytes().length
                : w instanceof Write.Replace r ? r.snapshot().length + r.journal().length : 0;
    }

    /** What is kept of a kind, or null. */
    public StoredRecord get(RecordKind kind) {
        return records.get(kind);
    }

    /** Whether something is kept that no file holds yet. */
    public boolean hasUnwrittenRecords() {
        return pendingWrite != null || snapshotNeeded || !dirty.isEmpty();
    }

    /** Bytes that were written since the start. */
    public long bytesWritten() {
        return bytesWritten;
    }

    /** Orders that failed. */
    public long failedWrites() {
        return failedWrites;
    }

    /** Records that were too long to keep. */
    public long oversizedRecords() {
        return oversizedRecords;
    }

    /** Of the files that were ordered last. */
    public StateFileHeader header() {
        return header;
    }
}
