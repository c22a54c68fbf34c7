package cacheproxy.demo;

import cacheproxy.emulator.Fault;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Stream;

/** An instance's state folder, with the faults that may be applied to it while the instance is down. */
final class StateFolder {
    private final Path folder;
    private final Path older;
    private final Path other;
    private final SplittableRandom random;

    /**
     * {@code older}: an earlier copy; {@code other}: another instance's folder; {@code seed}: seed of random damage.
     */
    StateFolder(Path folder, Path older, Path other, long seed) {
        this.folder = folder;
        this.older = older;
        this.other = other;
        random = new SplittableRandom(seed);
    }

    /** Applies the fault. */
    void applyStateFault(Fault.State state) throws IOException {
        switch (state) {
            case KEPT -> {}
            case LOST -> empty();
            case CUT_SHORT -> {
                for (Path file : files(folder)) {
                    byte[] bytes = Files.readAllBytes(file);
                    Files.write(file, Arrays.copyOf(bytes, bytes.length == 0 ? 0 : random.nextInt(bytes.length)));
                }
            }
            case DAMAGED -> {
                for (Path file : files(folder)) {
                    byte[] bytes = Files.readAllBytes(file);
                    if (bytes.length > 0) {
                        bytes[random.nextInt(bytes.length)] ^= (byte) (1 + random.nextInt(255));
                        Files.write(file, bytes);
                    }
                }
            }
            case OLDER -> replace(older);
            case OTHER -> replace(other);
        }
    }

    private void replace(Path by) throws IOException {
        empty();
        copy(by, folder);
    }

    private void empty() throws IOException {
        for (Path file : files(folder)) {
            Files.delete(file);
        }
    }

    /** Copies all files of a folder, which need not exist, into another. */
    static void copy(Path from, Path to) throws IOException {
        Files.createDirectories(to);
        for (Path file : Files.isDirectory(from) ? files(from) : List.<Path>of()) {
            Files.copy(file, to.resolve(file.getFileName()), StandardCopyOption.REPLACE_EXISTING);
        }
    }

    private static List<Path> files(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.filter(Files::isRegularFile).sorted().toList();
        }
    }
}
