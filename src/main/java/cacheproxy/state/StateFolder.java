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
 * The state folder of one instance: the files {@code snapshot} and {@code journal}, and a lock file that prevents a
 * second process from writing. Written data survives a crash of the machine once the call that wrote it has returned.
 * Used by one thread at a time; each call may block on the disk.
 */
public final class StateFolder implements AutoCloseable {
    private static final String LOCK_FILE = "lock";
    private static final String NEW_SUFFIX = ".new";
    /** Suffix under which unusable files are kept; only the latest one of each name. */
    private static final String ASIDE_SUFFIX = ".aside";

    private static final long MAX_FILE_BYTES = 16 << 20;

    private final Path folder;
    private FileChannel lockFile;
    private FileLock lock;
    private FileChannel journal;

    /** Does not access the folder yet. */
    public StateFolder(Path folder) {
        this.folder = folder;
    }

    /** The folder's path. */
    public Path path() {
        return folder;
    }

    /**
     * Reads the folder; the result is empty if the folder does not exist. Never fails: each problem is a finding.
     *
     * @param instance the instance to which the folder should belong; null accepts any instance
     * @param fleet the fleet to which it should belong
     */
    public OpenedState read(String instance, String fleet) {
        List<Finding> findings = new ArrayList<>();
        byte[] snapshot = readFile(StateReader.SNAPSHOT, findings);
        byte[] changes = readFile(StateReader.JOURNAL, findings);
        OpenedState read = StateReader.read(snapshot, changes, instance, fleet);
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

    /**
     * Acquires the lock if it is free, and creates the folder if it does not exist.
     *
     * @return whether only this process may write from now on, until it closes this folder or ends
     */
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
            return false; // another part of this process holds it
        }
        return lock != null;
    }

    /** Renames unusable files, so that the next snapshot does not overwrite data that may still be needed. */
    public void setAside() throws IOException {
        for (String name : List.of(StateReader.SNAPSHOT, StateReader.JOURNAL)) {
            Path file = folder.resolve(name);
            if (Files.exists(file)) {
                Files.move(file, folder.resolve(name + ASIDE_SUFFIX), StandardCopyOption.ATOMIC_MOVE);
            }
        }
    }

    /**
     * Carries out a write and forces it to the disk.
     *
     * @throws IOException if it failed; the content of the files is then unknown, and the next write has to be a
     *     snapshot
     */
    public void write(StateWrite write) throws IOException {
        try {
            if (write instanceof StateWrite.Append append) {
                append(append.bytes());
            } else if (write instanceof StateWrite.Replace files) {
                replace(files);
            }
        } catch (IOException e) {
            closeJournal();
            throw e;
        }
    }

    private void append(byte[] bytes) throws IOException {
        if (journal == null) {
            throw new IOException("no journal is open");
        }
        writeFully(journal, bytes);
        journal.force(false);
    }

    private void replace(StateWrite.Replace files) throws IOException {
        closeJournal();
        Files.createDirectories(folder); // it may have been deleted in the meantime
        replaceFile(StateReader.SNAPSHOT, files.snapshot());
        replaceFile(StateReader.JOURNAL, files.journal());
        journal = FileChannel.open(
                folder.resolve(StateReader.JOURNAL), StandardOpenOption.WRITE, StandardOpenOption.APPEND);
    }

    /**
     * Replaces a file atomically: at any time and after any crash, the name refers to the complete old or the complete
     * new file.
     */
    private void replaceFile(String name, byte[] bytes) throws IOException {
        Path next = folder.resolve(name + NEW_SUFFIX);
        try (FileChannel file = FileChannel.open(
                next, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING)) {
            writeFully(file, bytes);
            file.force(true);
        }
        Files.move(next, folder.resolve(name), StandardCopyOption.ATOMIC_MOVE);
        try (FileChannel directory = FileChannel.open(folder, StandardOpenOption.READ)) {
            directory.force(true); // otherwise a crash of the machine may lose the new name
        }
    }

    private static void writeFully(FileChannel file, byte[] bytes) throws IOException {
        ByteBuffer remaining = ByteBuffer.wrap(bytes);
        while (remaining.hasRemaining()) {
            file.write(remaining);
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
            lockFile.close(); // releases the lock
            lockFile = null;
            lock = null;
        }
    }
}
