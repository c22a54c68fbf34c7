package cacheproxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checkstyle limits the length of files and methods. Its lists of exceptions may only shrink. */
class SizeLimitsTest {
    private static final int MAX_FILE_LINES = 400;
    /** The number of remaining exceptions; lower it whenever an entry is removed. */
    private static final int MAX_LONG_FILES = 4;

    private static final int MAX_FILES_WITH_LONG_METHODS = 16;

    @Test
    void everyListedFileIsStillOverTheLimit() throws IOException {
        List<String> listed = suppressed("FileLength");
        assertThat(listed).hasSizeLessThanOrEqualTo(MAX_LONG_FILES).doesNotHaveDuplicates();
        for (String name : listed) {
            assertThat(mainSources(name))
                    .as(name)
                    .isNotEmpty()
                    .anySatisfy(file -> assertThat(Files.readAllLines(file)).hasSizeGreaterThan(MAX_FILE_LINES));
        }
    }

    @Test
    void everyFileListedForItsMethodsExists() throws IOException {
        List<String> listed = suppressed("MethodLength");
        assertThat(listed).hasSizeLessThanOrEqualTo(MAX_FILES_WITH_LONG_METHODS).doesNotHaveDuplicates();
        for (String name : listed) {
            assertThat(mainSources(name)).as(name).isNotEmpty();
        }
    }

    /** Checks that the policy files named by the deploy file exist. */
    @Test
    void thePolicyFilesOfTheDeployFileExist() throws IOException {
        String deploy = Files.readString(Path.of("deploy/balancer.toml"));
        List<String> policy = Pattern.compile("(?m)^policy = \\[(.*)]")
                .matcher(deploy)
                .results()
                .flatMap(list ->
                        Pattern.compile("\"([^\"]+)\"").matcher(list.group(1)).results())
                .map(file -> file.group(1))
                .toList();
        assertThat(policy)
                .hasSizeGreaterThanOrEqualTo(2)
                .allSatisfy(file -> assertThat(Path.of(file)).exists());
    }

    private static List<String> suppressed(String check) throws IOException {
        String list = Files.readString(Path.of("config/checkstyle/suppressions.xml"));
        List<String> names = Pattern.compile("checks=\"" + check + "\" files=\".*\\[(?:\\\\/)+](\\w+)\\\\.java\"")
                .matcher(list)
                .results()
                .map(entry -> entry.group(1) + ".java")
                .toList();
        long entries =
                Pattern.compile("\"" + check + "\"").matcher(list).results().count();
        assertThat(names).as("each entry names one file").hasSize((int) entries);
        return names;
    }

    private static List<Path> mainSources(String name) throws IOException {
        try (Stream<Path> files = Files.walk(Path.of("src/main/java"))) {
            return files.filter(file -> file.getFileName().toString().equals(name))
                    .toList();
        }
    }
}
