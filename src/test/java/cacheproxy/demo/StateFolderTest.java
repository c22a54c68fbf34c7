package cacheproxy.demo;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.emulator.Fault.State;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class StateFolderTest {
    private static final byte[] NOW = {1, 2, 3, 4, 5, 6, 7, 8};

    @TempDir
    private Path folder;

    @ParameterizedTest
    @EnumSource(State.class)
    void aFolderBecomesWhatTheFaultSays(State state) throws IOException {
        Path own = Files.createDirectory(folder.resolve("own"));
        Path older = folder.resolve("older");
        Path other = Files.createDirectory(folder.resolve("other"));
        Files.writeString(own.resolve("log"), "then");
        StateFolder.copy(own, older);
        Files.write(own.resolve("log"), NOW);
        Files.writeString(other.resolve("log"), "its");
        new StateFolder(own, older, other, 1).applyStateFault(state);
        byte[] bytes = state == State.LOST ? null : Files.readAllBytes(own.resolve("log"));
        switch (state) {
            case KEPT -> assertThat(bytes).isEqualTo(NOW);
            case LOST -> assertThat(own).isEmptyDirectory();
            case CUT_SHORT -> assertThat(bytes).hasSizeLessThan(8).isEqualTo(Arrays.copyOf(NOW, bytes.length));
            case DAMAGED -> {
                int changed = 0;
                for (int i = 0; i < 8; i++) {
                    changed += bytes[i] == NOW[i] ? 0 : 1;
                }
                assertThat(changed).isEqualTo(1);
            }
            case OLDER -> assertThat(bytes).asString().isEqualTo("then");
            case OTHER -> assertThat(bytes).asString().isEqualTo("its");
        }
    }
}
