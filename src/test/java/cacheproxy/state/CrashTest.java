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
 * Kills at every step of a write, and damage to every byte: what is opened afterwards was written once, and nothing is
 * lost that was done.
 */
class CrashTest {
    private static final String ME = "proxy-3";
    private static final String FLEET = "edge";

    /** The two files, each as it stands on a disk; a file is replaced whole, and an append may end anywhere. */
    private static final class Disk {
        byte[] snapshot;
        byte[] journal;

        Disk copy() {
            Disk d = new Disk();
            d.snapshot = snapshot;
            d.journal = journal;
            return d;
        }

        void whole(StateWrite w) {
            if (w instanceof StateWrite.Append a) {
                append(a.bytes(), a.bytes().length);
            } else if (w instanceof StateWrite.Replace r) {
                snapshot = r.snapshot();
                journal = r.journal();
            }
        }

        void append(byte[] bytes, int many) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.writeBytes(journal);
            all.write(bytes, 0, many);
            journal = all.toByteArray();
        }

        /** As it is after the process has died in this write, at its every step. */
        List<Disk> deaths(StateWrite w) {
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
                both.whole(w);
                all.add(both);
            }
            return all;
        }

        OpenedState open() {
            return StateReader.read(snapshot, journal, ME, FLEET);
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

    /** 200 lives, each ended in the middle of a write at its every step: some 20,000 deaths. */
    @Test
    void crashAtAnyStepLosesNoCompletedWrite() {
        long deaths = 0;
        for (long seed = 1; seed <= 200; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            Disk disk = new Disk();
            Map<RecordKind, Integer> done = new EnumMap<>(RecordKind.class);
            Map<RecordKind, Integer> put = new EnumMap<>(RecordKind.class);
            int next = 0;
            for (int life = 0; life < 3; life++) {
                RecordStore store = new RecordStore(disk.open(), ME, FLEET);
                double now = life * 1e6;
                int writes = random.nextInt(1, 5);
                for (int w = 0; w < writes; w++) {
                    for (int i = random.nextInt(3); i >= 0; i--) {
                        RecordKind kind = RecordKind.values()[random.nextInt(RecordKind.values().length)];
                        put.put(kind, ++next);
                        store.put(now, record(kind, next));
                    }
                    now += 10_000;
                    StateWrite write = store.nextWrite(now);
                    assertThat(write).isNotNull();
                    for (Disk dead : disk.deaths(write)) {
                        deaths++;
                        OpenedState opened = dead.open();
                        assertThat(opened.findings()).allMatch(f -> f.severity() == Severity.HARMLESS);
                        for (RecordKind kind : RecordKind.values()) {
                            assertThat(number(opened.records().get(kind)))
                                    .isBetween(done.getOrDefault(kind, 0), put.getOrDefault(kind, 0));
                        }
                    }
                    disk.whole(write);
                    store.writeSucceeded(now);
                    done.putAll(put);
                }
                // The life ends in one more write, somewhere.
                store.put(now, record(RecordKind.ENDPOINT_LIST, ++next));
                put.put(RecordKind.ENDPOINT_LIST, next);
                List<Disk> ends = disk.deaths(store.nextWrite(now + 10_000));
                disk = ends.get(random.nextInt(ends.size()));
                disk.open().records().forEach((kind, r) -> done.put(kind, number(r)));
                put.clear(); // what went down with it is known to nobody
                put.putAll(done);
            }
        }
        assertThat(deaths).isGreaterThan(10_000);
    }

    private static Disk filled() {
        Disk disk = new Disk();
        RecordStore store = new RecordStore(OpenedState.EMPTY, ME, FLEET);
        for (int i = 0; i < 4; i++) {
            store.put(i, record(RecordKind.values()[i], 10 + i));
            StateWrite w = store.nextWrite(i + 10_000);
            disk.whole(w);
            store.writeSucceeded(i + 10_000);
        }
        return disk;
    }

    /** Each byte of both files changed in three ways, and each file cut at each byte. */
    @Test
    void changedOrMissingBytesNeverYieldAWrongRecord() {
        Disk disk = filled();
        OpenedState sound = disk.open();
        assertThat(sound.records()).hasSize(4);
        assertThat(sound.findings()).isEmpty();
        int seen = 0;
        for (boolean snapshot : new boolean[] {true, false}) {
            byte[] file = snapshot ? disk.snapshot : disk.journal;
            for (int at = 0; at < file.length; at++) {
                for (int mask : new int[] {1, 0x20, 0xff, -1}) {
                    byte[] other = mask < 0 ? Arrays.copyOf(file, at) : file.clone();
                    if (mask >= 0) {
                        other[at] ^= (byte) mask;
                    }
                    OpenedState opened = snapshot
                            ? StateReader.read(other, disk.journal, ME, FLEET)
                            : StateReader.read(disk.snapshot, other, ME, FLEET);
                    opened.records()
                            .forEach((kind, r) ->
                                    assertThat(r).isEqualTo(sound.records().get(kind)));
                    // A file that was cut between two lines looks like one that was never longer.
                    boolean between = mask < 0 && (at == 0 || file[at - 1] == '\n');
                    if (!between) {
                        assertThat(opened.findings())
                                .as("byte %d, mask %d", at, mask)
                                .isNotEmpty();
                        seen++;
                    }
                }
            }
        }
        assertThat(seen).isGreaterThan(1000);
    }

    /**
     * Random bytes, and pieces of sound files in any order: never an exception, never a record that was not written.
     */
    @Test
    void arbitraryBytesNeverThrow() {
        Disk disk = filled();
        OpenedState sound = disk.open();
        for (long seed = 1; seed <= 3000; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            byte[] file = new byte[random.nextInt(600)];
            for (int i = 0; i < file.length; ) {
                byte[] from = random.nextBoolean() ? disk.journal : disk.snapshot;
                if (random.nextInt(3) == 0) {
                    file[i++] = (byte) random.nextInt(256);
                } else {
                    int start = random.nextInt(from.length);
                    int many = Math.min(Math.min(random.nextInt(1, 200), from.length - start), file.length - i);
                    System.arraycopy(from, start, file, i, many);
                    i += many;
                }
            }
            OpenedState opened = StateReader.read(random.nextBoolean() ? file : disk.snapshot, file, ME, FLEET);
            opened.records()
                    .forEach(
                            (kind, r) -> assertThat(r).isEqualTo(sound.records().get(kind)));
        }
    }
}
