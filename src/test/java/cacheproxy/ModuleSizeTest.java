package cacheproxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** The module's size limit, over the files that the deploy file names. */
class ModuleSizeTest {
    @Test
    void theModuleStaysPortable() throws IOException {
        String deploy = Files.readString(Path.of("deploy/balancer.toml"));
        Matcher list = Pattern.compile("(?m)^policy = \\[(.*)]").matcher(deploy);
        assertThat(list.find()).isTrue();
        Matcher file = Pattern.compile("\"([^\"]+)\"").matcher(list.group(1));
        long lines = 0;
        int files = 0;
        while (file.find()) {
            List<String> text = Files.readAllLines(Path.of(file.group(1)));
            lines += text.stream().filter(l -> !l.isBlank()).count();
            assertThat(text).allSatisfy(l -> assertThat(l.length()).as(l).isLessThanOrEqualTo(110));
            files++;
        }
        assertThat(files).isEqualTo(2);
        assertThat(lines).isLessThanOrEqualTo(1200);
    }
}
