package cacheproxy.state;

import cacheproxy.state.Finding.Severity;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;

/**
 * The folder in which one instance's state lies: {@code snapshot}, {@code journal}, and a lock that tells two processes
 * apart. What it has written outlasts the machine's end when the call returns. Used by one thread at a time; each call
 * may wait for the disk.
 */
public final class StateFolder implements AutoCloseable {
    private static final String LOCK_FILE = "lock";
    private static final String NEW_SUFFIX = ".new";
    /** Files that were of no use are kept under their names with this behind, the last of each. */
    private static final String ASIDE_SUFFIX = ".aside";

    private static final long MAX_FILE_BYTES = 16 << 20;

    private final Path folder;
    private FileChannel lockFile;
    private FileLock lock;
    private FileChannel journal;

    /** Touches nothing yet. */
    public StateFolder(Path folder) {
        this.folder = folder;
    }

    /** Where it is. */
    public Path path() {
        return folder;
    }

    /** What the folder holds, for this instance; empty where there is none. Never fails: what is wrong is a finding. */
    public OpenedState read(String instance, String fleet) {
        List<Finding> findings = new ArrayList<>();
        byte[] snapshot = readFile(OpenedState.SNAPSHOT, findings);
        byte[] since = readFile(OpenedState.JOURNAL, findings);
        OpenedState read = OpenedState.read(snapshot, since, instance, fleet);
        findings.addAll(read.findings());
        return new OpenedState(read.header(), read.records(), List.copyOf(findings));
    }

    private byte[] readFile(String name, List<Finding> findings) {
        Path file = folder.resolve(name);
        try {
            if (Files.size(file) > MAX_FILE_BYTES) {
                findings.add(
                        new Finding(name, 0, "is longer than " + MAX_FILE_BYTES + " bytes", Severity.RECORDS_LOST));
                return null;
            }
            return Files.readAllBytes(file);
        } catch (NoSuchFileException e) {
            return null;
        } catch (IOException | RuntimeException e) {
            findings.add(new Finding(name, 0, "can't be read: " + e, Severity.RECORDS_LOST));
            return null;
        }
    }

    /** Whether this process alone may write here from now on; until it has closed or ended. */
    public boolean tryLock() throws IOException {
        if (lock != null) {
            return true;
        }
        Files.createDirectories(folder);
        if (lockFile == null) {
            lockFile = FileChannel.open(folder.resolve(LOCK_FILE), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        }
        try {
            lock = lockFile.tryLock();
        } catch (OverlappingFileLockException e) {
            return false; // by another part of this process
        }
        return lock != null;
    }

    /** Lays files of no use aside, so that the next snapshot destroys nothing that somebody may want. */
    public void setAside() throws IOException {
        for (String name : List.of(OpenedState.SNAPSHOT, OpenedState.JOURNAL)) {
            Path file = folder.resolve(name);
            if (Files.exists(file)) {
                Files.move(file, folder.resolve(name + ASIDE_SUFFIX), StandardCopyOption.ATOMIC_MOVE);
            }
        }
    }

    /** Carries an order out. An exception says that nobody knows what the files hold. */
    public void write(RecordStore.Write what) throws IOException {
        try {
            if (what instanceof RecordStore.Write.Append a) {
                if (journal == null) {
                    throw new IOException("no journal is open");
                }
                writeFully(journal, a.bytes());
                journal.force(false);
            } else if (what instanceof RecordStore.Write.Replace r) {
                replace(r);
            }
        } catch (IOException e) {
            closeJournal();
            throw e;
        }
    }

    private void replace(RecordStore.Write.Replace r) throws IOException {
        closeJournal();
        Files.createDirectories(folder); // it may have gone meanwhile
        replaceFile(OpenedState.SNAPSHOT, r.snapshot());
        replaceFile(OpenedState.JOURNAL, r.journal());
        journal = FileChannel.open(
                folder.resolve(OpenedState.JOURNAL), StandardOpenOption.WRITE, StandardOpenOption.APPEND);
    }

    /** Under its name there is, at any time and after any crash, the old file or the new one, whole. */
    private void replaceFile(String name, byte[] bytes) throws IOException {
        Path next = folder.resolve(name + NEW_SUFFIX);
        try (FileChannel file = FileChannel.open(
                next, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING)) {
            writeFully(file, bytes);
            file.force(true);
        }
        Files.move(next, folder.resolve(name), StandardCopyOption.ATOMIC_MOVE);
        try (FileChannel directory = FileChannel.open(folder, StandardOpenOption.READ)) {
            directory.force(true); // or the name may be lost with the machine
        }
    }

    private static void writeFully(FileChannel file, byte[] bytes) throws IOException {
        ByteBuffer all = ByteBuffer.wrap(bytes);
        while (all.hasRemaining()) {
            file.write(all);
        }
    }

    private void closeJournal() throws IOException {
        if (journal != null) {
            FileChannel open = journal;
            journal = null;
            open.close();
        }
    }

    @Override
    public void close() throws IOException {
        closeJournal();
        if (lockFile != null) {
            lockFile.close(); // which lets the lock go
            lockFile = null;
            lock = null;
        }
    }
}
