package cacheproxy.state;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import cacheproxy.state.Finding.Severity;
import com.google.gson.JsonPrimitive;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The state folder on a real file system, and processes that are killed while they write. */
@Timeout(60)
class StateFolderTest {
    private static final int KILLS = Integer.getInteger("state.kills", 8);

    @TempDir
    private Path path;

    private static StoredRecord record(int number) {
        return new StoredRecord(RecordKind.INCARNATION, number, new JsonPrimitive(number));
    }

    private static int number(OpenedState opened) {
        StoredRecord r = opened.records().get(RecordKind.INCARNATION);
        return r == null ? 0 : r.body().getAsInt();
    }

    private static RecordStore write(StateFolder folder, int... numbers) throws IOException {
        RecordStore store = new RecordStore(folder.read("p", "f"), "p", "f");
        for (int n : numbers) {
            store.put(n, record(n));
            folder.write(store.nextWrite(n + 1e6));
            store.writeSucceeded(n);
        }
        return store;
    }

    @Test
    void writtenRecordsAreReadByTheNextProcess() throws IOException {
        Path folderPath = path.resolve("not/yet");
        try (StateFolder folder = new StateFolder(folderPath)) {
            assertThat(folder.read("p", "f").findings()).isEmpty();
            assertThat(folder.tryLock()).isTrue();
            write(folder, 1, 2, 3);
        }
        OpenedState opened = new StateFolder(folderPath).read("p", "f");
        assertThat(number(opened)).isEqualTo(3);
        assertThat(opened.header().starts()).isEqualTo(1);
        assertThat(opened.findings()).isEmpty();
    }

    @Test
    void onlyOneProcessHoldsTheLock() throws IOException {
        try (StateFolder one = new StateFolder(path);
                StateFolder two = new StateFolder(path)) {
            assertThat(one.tryLock()).isTrue();
            assertThat(two.tryLock()).isFalse();
            one.close();
            assertThat(two.tryLock()).isTrue();
        }
    }

    /** A failed write affects only itself: the old files stay, and the next successful snapshot repairs the folder. */
    @Test
    void failedWriteKeepsTheOldFiles() throws IOException {
        try (StateFolder folder = new StateFolder(path)) {
            RecordStore store = write(folder, 1);
            Path obstacle = Files.createDirectory(path.resolve("snapshot.new"));
            store.put(2, record(2));
            folder.write(store.nextWrite(1e7)); // an append creates no new file
            store.writeFailed(1e7);
            store.put(3, record(3));
            StateWrite third = store.nextWrite(2e7);
            assertThatThrownBy(() -> folder.write(third)).isInstanceOf(IOException.class);
            store.writeFailed(2e7);
            assertThat(number(folder.read("p", "f"))).isEqualTo(2);
            Files.delete(obstacle);
            folder.write(store.nextWrite(3e7));
            store.writeSucceeded(3e7);
            assertThat(number(folder.read("p", "f"))).isEqualTo(3);
        }
    }

    @Test
    void deletedFolderIsRecreated() throws IOException {
        Path folderPath = path.resolve("gone");
        try (StateFolder folder = new StateFolder(folderPath)) {
            RecordStore store = write(folder, 1);
            for (Path file : List.of(folderPath.resolve("snapshot"), folderPath.resolve("journal"), folderPath)) {
                Files.delete(file);
            }
            store.put(2, record(2));
            folder.write(store.nextWrite(1e7)); // writes to a deleted file
            store.writeFailed(1e7);
            folder.write(store.nextWrite(2e7));
            assertThat(number(folder.read("p", "f"))).isEqualTo(2);
        }
    }

    @Test
    void fileInPlaceOfTheFolderFailsTheLock() throws IOException {
        Path file = Files.writeString(path.resolve("file"), "x");
        try (StateFolder folder = new StateFolder(file)) {
            assertThat(folder.read("p", "f").records()).isEmpty();
            assertThatThrownBy(folder::tryLock).isInstanceOf(IOException.class);
        }
    }

    @Test
    void filesOfAnotherInstanceAreSetAside() throws IOException {
        try (StateFolder folder = new StateFolder(path)) {
            write(folder, 1);
            OpenedState others = folder.read("q", "f");
            assertThat(others.records()).isEmpty();
            assertThat(others.findings()).allMatch(f -> f.severity() == Severity.UNUSABLE);
            folder.setAside();
        }
        assertThat(path.resolve("snapshot.aside")).exists();
        assertThat(path.resolve("snapshot")).doesNotExist();
    }

    /** A separate process that writes increasing numbers and prints each one after its write has completed. */
    static final class Writer {
        public static void main(String[] args) throws IOException {
            try (StateFolder folder = new StateFolder(Path.of(args[0]))) {
                folder.tryLock();
                RecordStore store = new RecordStore(folder.read("p", "f"), "p", "f");
                for (int n = Integer.parseInt(args[1]); ; n++) {
                    store.put(n, record(n));
                    folder.write(store.nextWrite(n + 1e6));
                    store.writeSucceeded(n);
                    System.out.println(n);
                }
            }
        }
    }

    /**
     * A process is killed during a write: all numbers that it has printed are stored, and the next process continues
     * from them.
     */
    @Test
    void completedWritesSurviveAKill() throws Exception {
        int done = 0;
        for (int kill = 1; kill <= KILLS; kill++) {
            Process process = new ProcessBuilder(
                            Path.of(System.getProperty("java.home"), "bin", "java")
                                    .toString(),
                            "-XX:TieredStopAtLevel=1",
                            "-cp",
                            System.getProperty("java.class.path"),
                            Writer.class.getName(),
                            path.toString(),
                            String.valueOf(done + 1))
                    .redirectErrorStream(true)
                    .start();
            List<String> reported = new ArrayList<>();
            try (BufferedReader lines = process.inputReader()) {
                int expected = 1 + kill * 7 % 23;
                for (String line; reported.size() < expected && (line = lines.readLine()) != null; ) {
                    reported.add(line);
                }
                // Process.destroyForcibly would close the output that has not been read yet.
                new ProcessBuilder("kill", "-9", String.valueOf(process.pid()))
                        .start()
                        .waitFor();
                lines.lines().forEach(reported::add);
            }
            assertThat(process.waitFor(10, TimeUnit.SECONDS)).isTrue();
            int last = Integer.parseInt(
                    reported.get(reported.size() - 1).matches("\\d+")
                            ? reported.get(reported.size() - 1)
                            : reported.get(reported.size() - 2));
            OpenedState opened = new StateFolder(path).read("p", "f");
            assertThat(number(opened)).as("%s", reported).isBetween(last, last + 1);
            assertThat(opened.findings()).allMatch(f -> f.severity() == Severity.HARMLESS);
            assertThat(opened.header().starts()).isEqualTo(kill);
            done = number(opened);
        }
    }
}
