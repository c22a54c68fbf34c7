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
    public static final int MOST_RECORD = 512 << 10;
    /** A longer journal becomes a snapshot. */
    public static final int MOST_JOURNAL = 512 << 10;
    /** What may be written in a minute; beyond it only what is urgent is. */
    public static final int MOST_MINUTE = 4 << 20;

    private static final double MINUTE_MS = 60_000;
    private static final double FIRST_AGAIN_MS = 1000;
    private static final double LAST_AGAIN_MS = 60_000;
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
    private boolean replace = true;
    private long journalBytes;
    private Write out;
    private double againMs;
    private double waitUntilMs = Double.NEGATIVE_INFINITY;
    private double minuteMs = Double.NEGATIVE_INFINITY;
    private long minuteBytes;
    private long written;
    private long failures;
    private long dropped;

    /**
     * Goes on from what was found. The first order is a snapshot: of a new start, of what was sound.
     *
     * @param instance whose it is
     * @param fleet which fleet's
     */
    public RecordStore(OpenedState opened, String instance, String fleet) {
        StateFileHeader found = opened.header();
        header = (found == null ? new StateFileHeader(instance, fleet, 0, 0) : found).started();
        records.putAll(opened.records());
    }

    /**
     * Keeps a record in place of the last of its kind. {@code nowMs} is monotonic; the record's own time is the wall
     * clock's.
     */
    public void put(double nowMs, StoredRecord r) {
        StoredRecord before = records.get(r.kind());
        JsonElement body = r.body();
        if (before != null && before.body().equals(body) && before.kind().holdsMs() == Double.POSITIVE_INFINITY) {
            return; // it ages as little as it has changed
        }
        if (body.toString().length() > MOST_RECORD) {
            dropped++;
            return;
        }
        records.put(r.kind(), r);
        if (dirty.add(r.kind())) {
            dirtySince.put(r.kind(), nowMs);
        }
    }

    /** Another process wrote here until now: what is written next is after all of its. */
    public void after(StateFileHeader other) {
        if (other != null && other.generation() >= header.generation()) {
            header = new StateFileHeader(
                    header.instance(),
                    header.fleet(),
                    other.generation(),
                    Math.max(header.starts(), other.starts() + 1));
            replace = true;
        }
    }

    /** What is to be written now, or null. Nothing more is ordered until it has been told how that went. */
    public Write next(double nowMs) {
        if (out != null || nowMs < dueMs()) {
            return null;
        }
        if (replace || journalBytes > MOST_JOURNAL) {
            header = header.next();
            Write.Replace all = replacement();
            journalBytes = all.journal().length;
            out = all;
        } else {
            List<StoredRecord> changed = dirty.stream().map(records::get).toList();
            byte[] bytes = StateFileFormat.records(changed);
            out = new Write.Append(bytes);
            journalBytes += bytes.length;
        }
        dirty.clear();
        dirtySince.clear();
        return out;
    }

    /**
     * All of it as a snapshot, whatever is under way: the end of the process waits for nothing else. Carried out after
     * what was ordered before.
     */
    public Write last() {
        header = header.next();
        return replacement();
    }

    private Write.Replace replacement() {
        byte[] head = StateFileFormat.header(header);
        byte[] body = StateFileFormat.records(records.values());
        byte[] snapshot = new byte[head.length + body.length];
        System.arraycopy(head, 0, snapshot, 0, head.length);
        System.arraycopy(body, 0, snapshot, head.length, body.length);
        return new Write.Replace(snapshot, head);
    }

    /** When {@link #next} may have an order, on the monotonic clock; infinite for not before something is put. */
    public double dueMs() {
        if (out != null) {
            return Double.POSITIVE_INFINITY;
        }
        double due = replace ? Double.NEGATIVE_INFINITY : Double.POSITIVE_INFINITY;
        for (Map.Entry<RecordKind, Double> e : dirtySince.entrySet()) {
            double gather = e.getKey().gatherMs();
            double at = e.getValue() + gather;
            if (gather > URGENT_MS && minuteBytes >= MOST_MINUTE) {
                at = Math.max(at, minuteMs + MINUTE_MS);
            }
            due = Math.min(due, at);
        }
        return Math.max(due, waitUntilMs);
    }

    /** The last order was carried out and will outlast the machine's end. */
    public void done(double nowMs) {
        if (nowMs - minuteMs >= MINUTE_MS) {
            minuteMs = nowMs;
            minuteBytes = 0;
        }
        minuteBytes += bytes(out);
        written += bytes(out);
        replace = false;
        againMs = 0;
        out = null;
    }

    /** It was not, or nobody knows. */
    public void failed(double nowMs) {
        failures++;
        replace = true;
        againMs = againMs == 0 ? FIRST_AGAIN_MS : Math.min(LAST_AGAIN_MS, 2 * againMs);
        waitUntilMs = nowMs + againMs;
        out = null;
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
    public boolean unwritten() {
        return out != null || replace || !dirty.isEmpty();
    }

    /** Bytes that were written since the start. */
    public long written() {
        return written;
    }

    /** Orders that failed. */
    public long failures() {
        return failures;
    }

    /** Records that were too long to keep. */
    public long dropped() {
        return dropped;
    }

    /** Of the files that were ordered last. */
    public StateFileHeader header() {
        return header;
    }
}
