package cacheproxy.config;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.config.edge.EdgeFile;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Includes: cycles through different paths, repeated includes, limits, and files that change during a load. */
class LoaderTest {
    @TempDir
    private Path folder;

    private Path write(String name, String text) throws IOException {
        Path file = folder.resolve(name);
        Files.createDirectories(file.getParent());
        return Files.writeString(file, text);
    }

    private List<String> load(Path root) {
        Problems problems = new Problems();
        List<Syntax.Document> documents = Loader.load(root, problems);
        if (!problems.none()) {
            return problems.all().stream()
                    .map(p -> (p.place() + ": " + p.message()).replace(folder + "/", ""))
                    .toList();
        }
        return documents.stream()
                .map(d -> d.source().name().replace(folder + "/", ""))
                .toList();
    }

    @Test
    void aCycleThroughSeveralFilesIsReportedWithItsPath() throws IOException {
        Path root = write("a", "include \"b\"");
        write("b", "\n  include \"sub/c\"");
        write("sub/c", "include \"../a\"");
        assertThat(load(root))
                .containsExactly("sub/c:1:9: a circle of includes: a includes b includes sub/c includes a");
    }

    @Test
    void aCycleThroughLinksAndDotsIsDetected() throws IOException {
        Path root = write("a", "include \"sub/../link\"\ninclude \"hard\"\ninclude \"./sub/.././a\"");
        Files.createDirectories(folder.resolve("sub"));
        Files.createSymbolicLink(folder.resolve("link"), root);
        Files.createLink(folder.resolve("hard"), root);
        assertThat(load(root))
                .containsExactly(
                        "a:1:9: a circle of includes: a includes link",
                        "a:2:9: a circle of includes: a includes hard",
                        "a:3:9: a circle of includes: a includes a");
    }

    @Test
    void aCycleOfSymbolicLinksCannotBeRead() throws IOException {
        Path root = write("a", "include \"x\"");
        Files.createSymbolicLink(folder.resolve("x"), folder.resolve("y"));
        Files.createSymbolicLink(folder.resolve("y"), folder.resolve("x"));
        assertThat(load(root)).containsExactly("a:1:9: x: it can't be read");
    }

    @Test
    void aFileIncludedTwiceIsReadOnce() throws IOException {
        Path root = write("a", "include \"b\" include \"c\" include \"b\"");
        write("b", "include \"d\"");
        write("c", "include \"./d\" include \"link\"");
        Files.createSymbolicLink(folder.resolve("link"), write("d", "x = 1"));
        assertThat(load(root)).containsExactly("a", "b", "d", "c");
    }

    @Test
    void pathsAreRelativeToTheIncludingFile() throws IOException {
        Path root = write("real/a", "include \"b\"");
        write("real/b", "");
        assertThat(load(root)).containsExactly("real/a", "real/b");
    }

    @Test
    void unreadableAndOversizedFilesAreReported() throws IOException {
        Files.createDirectories(folder.resolve("folder"));
        Path big = folder.resolve("big");
        Files.write(big, new byte[Loader.MAX_FILE_BYTES + 1]);
        Path root = write("a", "include \"folder\" include \"big\" include \"gone\" include \"nul\\t\"");
        assertThat(load(root))
                .containsExactly(
                        "a:1:9: folder: it is a folder",
                        "a:1:26: big: it has " + (Loader.MAX_FILE_BYTES + 1) + " bytes; at most "
                                + Loader.MAX_FILE_BYTES + " are read",
                        "a:1:40: gone: there is no such file",
                        "a:1:55: nul\t: there is no such file");
        assertThat(load(folder.resolve("nowhere")))
                .containsExactly("nowhere:1:1: "
                        + folder.resolve("nowhere").toString().replace(folder + "/", "") + ": there is no such file");
    }

    @Test
    void tooDeepIncludesAndTooManyFilesAreReportedOnce() throws IOException {
        for (int i = 0; i < 40; i++) {
            write("chain" + i, "include \"chain" + (i + 1) + "\"");
        }
        assertThat(load(folder.resolve("chain0")))
                .containsExactly("chain" + (Loader.MAX_INCLUDE_DEPTH - 1) + ":1:9: too much to read: "
                        + Loader.MAX_INCLUDE_DEPTH + " includes within one another");
        StringBuilder many = new StringBuilder();
        for (int i = 0; i <= Loader.MAX_FILES; i++) {
            write("many/" + i, "");
            many.append("include \"many/").append(i).append("\"\n");
        }
        assertThat(load(write("root", many.toString())))
                .hasSize(2)
                .allMatch(p -> p.endsWith("too much to read: " + Loader.MAX_FILES + " files"));
    }

    @Test
    void aDuplicateNameAcrossIncludesIsReportedWithBothPositions() throws IOException {
        Path root = write("a", "include \"b\" include \"c\"\nroute r { pool = p }");
        write("b", "pool p {}");
        write("c", "\npool p { site = x }");
        Problems problems = new Problems();
        ConfigFile.read(root, EdgeFile.schema(null), problems);
        assertThat(problems.text().replace(folder + "/", ""))
                .contains(
                        "a:2:18: pool \"p\" could be that of b:1 or that of c:2",
                        "c:2:1: pool \"p\" stands already at b:1");
    }

    // ---- files that change during a load

    /** In-memory files that can be replaced while others are read. */
    private static final class ReplaceableFiles implements Loader.FileAccess {
        final Map<String, String> files = new HashMap<>();
        final Map<String, Integer> versions = new HashMap<>();
        final List<String> reads = new ArrayList<>();
        Runnable afterRead = () -> {};

        void put(String name, String text) {
            files.put(name, text);
            versions.merge(name, 1, Integer::sum);
        }

        @Override
        public Loader.Snapshot read(Path path) throws IOException {
            String name = path.toString();
            if (!files.containsKey(name)) {
                throw new IOException("gone");
            }
            Loader.Snapshot s = new Loader.Snapshot(
                    name, versions.get(name), files.get(name).getBytes(StandardCharsets.UTF_8));
            reads.add(name);
            afterRead.run();
            return s;
        }

        @Override
        public Object stamp(Path path) {
            return versions.get(path.toString());
        }
    }

    @Test
    void aFileReplacedDuringLoadingRestartsTheLoad() {
        ReplaceableFiles access = new ReplaceableFiles();
        access.put("a", "include \"b\" old {}");
        access.put("b", "");
        access.afterRead = () -> {
            if (access.reads.size() == 2) {
                access.put("a", "include \"b\" new {}");
            }
        };
        Problems problems = new Problems();
        List<Syntax.Document> documents = Loader.load(Path.of("a"), problems, access);
        assertThat(problems.none()).isTrue();
        assertThat(access.reads).containsExactly("a", "b", "a", "b");
        assertThat(((Syntax.Block) documents.get(0).items().get(1)).name()).isEqualTo("new");
    }

    @Test
    void aFileThatKeepsChangingIsReported() {
        ReplaceableFiles access = new ReplaceableFiles();
        access.put("a", "");
        access.afterRead = () -> access.put("a", "");
        Problems problems = new Problems();
        Loader.load(Path.of("a"), problems, access);
        assertThat(access.reads).hasSize(3);
        assertThat(problems.text()).contains("a:1:1: the file changed while the configuration was read, 3 times");
    }

    @Test
    void mistakesOfAnInconsistentReadAreDiscarded() {
        ReplaceableFiles access = new ReplaceableFiles();
        access.put("a", "include \"b\"");
        access.afterRead = () -> {
            if (access.reads.size() == 1) {
                access.put("a", "");
            }
        };
        Problems problems = new Problems();
        Loader.load(Path.of("a"), problems, access);
        assertThat(problems.text()).isEmpty();
    }
}
