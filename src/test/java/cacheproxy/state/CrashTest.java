package cacheproxy.state;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.state.Finding.Severity;
import com.google.gson.JsonObject;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Simulates a crash at every step of a write, and damage to every byte. Opening the files afterwards yields only
 * records that were written, and no completed write is lost.
 */
class CrashTest {
    private static final String INSTANCE = "proxy-3";
    private static final String FLEET = "edge";

    /** The two files as they are on disk. A file is replaced atomically, but an append may end after any byte. */
    private static final class Disk {
        byte[] snapshot;
        byte[] journal;

        Disk copy() {
            Disk d = new Disk();
            d.snapshot = snapshot;
            d.journal = journal;
            return d;
        }

        void apply(StateWrite w) {
            if (w instanceof StateWrite.Append a) {
                append(a.bytes(), a.bytes().length);
            } else if (w instanceof StateWrite.Replace r) {
                snapshot = r.snapshot();
                journal = r.journal();
            }
        }

        void append(byte[] bytes, int count) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.writeBytes(journal);
            all.write(bytes, 0, count);
            journal = all.toByteArray();
        }

        /** The possible states of the disk after the process has crashed in this write, one for each step. */
        List<Disk> crashStates(StateWrite w) {
            List<Disk> all = new ArrayList<>(List.of(copy()));
            if (w instanceof StateWrite.Append a) {
                for (int n = 1; n <= a.bytes().length; n++) {
                    Disk d = copy();
                    d.append(a.bytes(), n);
                    all.add(d);
                }
            } else if (w instanceof StateWrite.Replace r) {
                Disk first = copy();
                first.snapshot = r.snapshot();
                all.add(first);
                Disk both = copy();
                both.apply(w);
                all.add(both);
            }
            return all;
        }

        OpenedState open() {
            return StateReader.read(snapshot, journal, INSTANCE, FLEET);
        }
    }

    private static StoredRecord record(RecordKind kind, int number) {
        JsonObject body = new JsonObject();
        body.addProperty("number", number);
        body.addProperty("text", "line\nfeeds and \u00fc ".repeat(number % 3));
        return new StoredRecord(kind, 1_000_000 + number, body);
    }

    private static int number(StoredRecord r) {
        return r == null ? 0 : r.body().getAsJsonObject().get("number").getAsInt();
    }

    /**
     * Runs 200 sequences of three processes, each of which crashes in a write; all steps of each write are checked,
     * some 20,000 crashes.
     */
    @Test
    void crashAtAnyStepLosesNoCompletedWrite() {
        long crashes = 0;
        for (long seed = 1; seed <= 200; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            Disk disk = new Disk();
            Map<RecordKind, Integer> completed = new EnumMap<>(RecordKind.class);
            Map<RecordKind, Integer> submitted = new EnumMap<>(RecordKind.class);
            int next = 0;
            for (int process = 0; process < 3; process++) {
                RecordStore store = new RecordStore(disk.open(), INSTANCE, FLEET);
                double now = process * 1e6;
                int writes = random.nextInt(1, 5);
                for (int w = 0; w < writes; w++) {
                    for (int i = random.nextInt(3); i >= 0; i--) {
                        RecordKind kind = RecordKind.values()[random.nextInt(RecordKind.values().length)];
                        submitted.put(kind, ++next);
                        store.put(now, record(kind, next));
                    }
                    now += 10_000;
                    StateWrite write = store.nextWrite(now);
                    assertThat(write).isNotNull();
                    for (Disk crashed : disk.crashStates(write)) {
                        crashes++;
                        OpenedState opened = crashed.open();
                        assertThat(opened.findings()).allMatch(f -> f.severity() == Severity.HARMLESS);
                        for (RecordKind kind : RecordKind.values()) {
                            assertThat(number(opened.records().get(kind)))
                                    .isBetween(completed.getOrDefault(kind, 0), submitted.getOrDefault(kind, 0));
                        }
                    }
                    disk.apply(write);
                    store.writeSucceeded(now);
                    completed.putAll(submitted);
                }
                // The process crashes at a random step of one more write.
                store.put(now, record(RecordKind.ENDPOINT_LIST, ++next));
                submitted.put(RecordKind.ENDPOINT_LIST, next);
                List<Disk> outcomes = disk.crashStates(store.nextWrite(now + 10_000));
                disk = outcomes.get(random.nextInt(outcomes.size()));
                disk.open().records().forEach((kind, r) -> completed.put(kind, number(r)));
                submitted.clear(); // records that were not written are lost with the process
                submitted.putAll(completed);
            }
        }
        assertThat(crashes).isGreaterThan(10_000);
    }

    private static Disk filled() {
        Disk disk = new Disk();
        RecordStore store = new RecordStore(OpenedState.EMPTY, INSTANCE, FLEET);
        for (int i = 0; i < 4; i++) {
            store.put(i, record(RecordKind.values()[i], 10 + i));
            StateWrite w = store.nextWrite(i + 10_000);
            disk.apply(w);
            store.writeSucceeded(i + 10_000);
        }
        return disk;
    }

    /** Changes each byte of both files in three ways, and truncates each file at each byte. */
    @Test
    void changedOrMissingBytesNeverYieldAWrongRecord() {
        Disk disk = filled();
        OpenedState intact = disk.open();
        assertThat(intact.records()).hasSize(4);
        assertThat(intact.findings()).isEmpty();
        int detected = 0;
        for (boolean snapshot : new boolean[] {true, false}) {
            byte[] file = snapshot ? disk.snapshot : disk.journal;
            for (int at = 0; at < file.length; at++) {
                for (int mask : new int[] {1, 0x20, 0xff, -1}) {
                    byte[] other = mask < 0 ? Arrays.copyOf(file, at) : file.clone();
                    if (mask >= 0) {
                        other[at] ^= (byte) mask;
                    }
                    OpenedState opened = snapshot
                            ? StateReader.read(other, disk.journal, INSTANCE, FLEET)
                            : StateReader.read(disk.snapshot, other, INSTANCE, FLEET);
                    opened.records()
                            .forEach((kind, r) ->
                                    assertThat(r).isEqualTo(intact.records().get(kind)));
                    // A file truncated between two lines is indistinguishable from one that was never longer.
                    boolean between = mask < 0 && (at == 0 || file[at - 1] == '\n');
                    if (!between) {
                        assertThat(opened.findings())
                                .as("byte %d, mask %d", at, mask)
                                .isNotEmpty();
                        detected++;
                    }
                }
            }
        }
        assertThat(detected).isGreaterThan(1000);
    }

    /**
     * Random bytes and pieces of intact files in any order never cause an exception or yield a record that was not
     * written.
     */
    @Test
    void arbitraryBytesNeverThrow() {
        Disk disk = filled();
        OpenedState intact = disk.open();
        for (long seed = 1; seed <= 3000; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            byte[] file = new byte[random.nextInt(600)];
            for (int i = 0; i < file.length; ) {
                byte[] from = random.nextBoolean() ? disk.journal : disk.snapshot;
                if (random.nextInt(3) == 0) {
                    file[i++] = (byte) random.nextInt(256);
                } else {
                    int start = random.nextInt(from.length);
                    int length = Math.min(Math.min(random.nextInt(1, 200), from.length - start), file.length - i);
                    System.arraycopy(from, start, file, i, length);
                    i += length;
                }
            }
            OpenedState opened = StateReader.read(random.nextBoolean() ? file : disk.snapshot, file, INSTANCE, FLEET);
            opened.records()
                    .forEach((kind, r) ->
                            assertThat(r).isEqualTo(intact.records().get(kind)));
        }
    }
}
