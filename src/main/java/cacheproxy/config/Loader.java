package cacheproxy.config;

import cacheproxy.config.Source.Place;
import cacheproxy.config.Syntax.Document;
import cacheproxy.config.Syntax.Include;
import cacheproxy.config.Syntax.Item;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.LinkOption;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * Loads a file and its includes, each file once. Files are identified by the file system's key, so that links and
 * {@code ..} do not load a file twice. If a file changes during the load, all files are read again, as a mixture of old
 * and new files is a configuration that nobody wrote.
 */
public final class Loader {
    /** Limit for a single file. */
    static final int MAX_FILE_BYTES = 4 << 20;
    /** Limit for all files together. */
    static final long MAX_TOTAL_BYTES = 64L << 20;

    static final int MAX_FILES = 2000;
    static final int MAX_INCLUDE_DEPTH = 32;
    private static final int MAX_ATTEMPTS = 3;
    private static final int MAX_SUGGESTION_CANDIDATES = 1000;

    /** A file's content with its identity and a stamp that changes when the file is replaced. */
    record Snapshot(Object identity, Object stamp, byte[] content) {}

    /** File access; tests substitute files that change during a load. */
    interface FileAccess {
        /** Reads the content with its stamp; a plain IOException has a message for the user. */
        Snapshot read(Path path) throws IOException;

        /** The stamp that {@link #read} would return now. */
        Object stamp(Path path) throws IOException;
    }

    /** The file system. */
    private static final FileAccess DISK = new FileAccess() {
        @Override
        public Snapshot read(Path path) throws IOException {
            BasicFileAttributes a = Files.readAttributes(path, BasicFileAttributes.class);
            if (!a.isRegularFile()) {
                throw new IOException(a.isDirectory() ? "it is a folder" : "it is no regular file");
            }
            if (a.size() > MAX_FILE_BYTES) {
                throw new IOException("it has " + a.size() + " bytes; at most " + MAX_FILE_BYTES + " are read");
            }
            Object identity = a.fileKey() != null ? a.fileKey() : path.toRealPath();
            try (var in = Files.newInputStream(path)) {
                return new Snapshot(identity, stamp(a), in.readNBytes(MAX_FILE_BYTES + 1));
            }
        }

        @Override
        public Object stamp(Path path) throws IOException {
            return stamp(Files.readAttributes(path, BasicFileAttributes.class));
        }

        private Object stamp(BasicFileAttributes a) {
            return List.of(a.lastModifiedTime(), a.size(), String.valueOf(a.fileKey()));
        }
    };

    private final FileAccess access;
    private Problems problems;
    private final List<Document> documents = new ArrayList<>();
    private final Map<Object, String> loaded = new LinkedHashMap<>();
    private final Map<Object, Place> includeChain = new LinkedHashMap<>();
    private final Map<Path, Object> stamps = new LinkedHashMap<>();
    private long totalBytes;

    private Loader(FileAccess access) {
        this.access = access;
    }

    /** Parses all files, the root first; mistakes are added to {@code problems}. */
    static List<Document> load(Path root, Problems problems) {
        return load(root, problems, DISK);
    }

    static List<Document> load(Path root, Problems problems, FileAccess access) {
        for (int i = 1; ; i++) {
            Loader loader = new Loader(access);
            Problems found = new Problems();
            loader.problems = found;
            Source source = new Source(root.toString(), "");
            loader.loadFile(root, root.toString(), Parser.start(source));
            Path changed = loader.findChanged();
            if (changed == null || i == MAX_ATTEMPTS) {
                problems.addAll(found);
                if (changed != null) {
                    problems.add(
                            Parser.start(new Source(changed.toString(), "")),
                            "the file changed while the " + "configuration was read, " + MAX_ATTEMPTS
                                    + " times in a row",
                            "try again when it is at rest");
                }
                return loader.documents;
            }
        }
    }

    private Path findChanged() {
        for (Map.Entry<Path, Object> e : stamps.entrySet()) {
            try {
                if (!access.stamp(e.getKey()).equals(e.getValue())) {
                    return e.getKey();
                }
            } catch (IOException gone) {
                return e.getKey();
            }
        }
        return null;
    }

    private void loadFile(Path path, String name, Place from) {
        Snapshot snapshot;
        try {
            snapshot = access.read(path);
        } catch (IOException e) {
            String why = e.getClass() == IOException.class
                    ? e.getMessage()
                    : Files.exists(path, LinkOption.NOFOLLOW_LINKS) ? "it can't be read" : "there is no such file";
            problems.add(from, name + ": " + why, suggestSibling(path));
            return;
        }
        stamps.put(path, snapshot.stamp());
        if (includeChain.containsKey(snapshot.identity())) {
            problems.add(
                    from,
                    "a circle of includes: " + describeCycle(snapshot.identity(), name),
                    "take this include out, and move what both need into a file of its own");
            return;
        }
        if (loaded.containsKey(snapshot.identity())) {
            return; // included more than once; already loaded
        }
        if (loaded.size() >= MAX_FILES
                || includeChain.size() >= MAX_INCLUDE_DEPTH
                || (totalBytes += snapshot.content().length) > MAX_TOTAL_BYTES) {
            problems.add(
                    from,
                    "too much to read: "
                            + (loaded.size() >= MAX_FILES
                                    ? MAX_FILES + " files"
                                    : includeChain.size() >= MAX_INCLUDE_DEPTH
                                            ? MAX_INCLUDE_DEPTH + " includes within one another"
                                            : (MAX_TOTAL_BYTES >> 20) + " MiB"),
                    "join files, or include them side by side");
            return;
        }
        loaded.put(snapshot.identity(), name);
        includeChain.put(snapshot.identity(), from);
        Source source = decode(name, snapshot.content());
        if (source != null) {
            Document document = Parser.parse(source, problems);
            documents.add(document);
            for (Item item : document.items()) {
                if (item instanceof Include include) {
                    include(path, name, include);
                }
            }
        }
        includeChain.remove(snapshot.identity());
    }

    private void include(Path from, String fromName, Include include) {
        try {
            Path relative = Path.of(include.path());
            if (include.path().isEmpty() || relative.isAbsolute()) {
                problems.add(
                        include.pathPlace(),
                        include.path().isEmpty() ? "include names no file" : "an absolute path in an include",
                        "write the path from the folder of this file");
                return;
            }
            Path folder = Path.of(fromName).getParent();
            loadFile(
                    from.resolveSibling(relative),
                    (folder == null ? relative : folder.resolve(relative))
                            .normalize()
                            .toString(),
                    include.pathPlace());
        } catch (InvalidPathException e) {
            problems.add(include.pathPlace(), "no path of a file: " + e.getReason(), null);
        }
    }

    private String describeCycle(Object identity, String name) {
        List<String> names = new ArrayList<>();
        for (Object id : includeChain.keySet()) {
            if (id.equals(identity) || !names.isEmpty()) {
                names.add(loaded.get(id));
            }
        }
        names.add(name);
        return String.join(" includes ", names);
    }

    /** A fix that suggests a file with a similar name in the same folder. */
    private static String suggestSibling(Path path) {
        Path folder = path.toAbsolutePath().getParent();
        if (folder == null || !Files.isDirectory(folder) || path.getFileName() == null) {
            return "the folder is not there either";
        }
        try (Stream<Path> files = Files.list(folder)) {
            String fix = Suggestions.suggest(
                    path.getFileName().toString(),
                    files.limit(MAX_SUGGESTION_CANDIDATES)
                            .filter(Files::isRegularFile)
                            .map(f -> f.getFileName().toString())
                            .toList());
            return fix != null && fix.startsWith("did you mean")
                    ? fix
                    : "paths count from the folder of the file that includes";
        } catch (IOException e) {
            return null;
        }
    }

    private Source decode(String name, byte[] content) {
        ByteBuffer in = ByteBuffer.wrap(content);
        try {
            return new Source(
                    name,
                    StandardCharsets.UTF_8
                            .newDecoder()
                            .onMalformedInput(CodingErrorAction.REPORT)
                            .onUnmappableCharacter(CodingErrorAction.REPORT)
                            .decode(in)
                            .toString());
        } catch (CharacterCodingException e) {
            String before = new String(content, 0, in.position(), StandardCharsets.UTF_8);
            int line = (int) before.chars().filter(c -> c == '\n').count() + 1;
            int column = before.length() - before.lastIndexOf('\n');
            Source lossy = new Source(name, new String(content, StandardCharsets.UTF_8));
            problems.add(
                    new Place(lossy, line, column),
                    String.format("a byte that is no UTF-8: 0x%02X", content[in.position()]),
                    "save the file as UTF-8");
            return null;
        }
    }
}
