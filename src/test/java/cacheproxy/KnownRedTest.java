package cacheproxy;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Checks that the list of known failures is short and that each line names its test, cause and issue. */
class KnownRedTest {
    @Test
    void theListHoldsFewLinesEachWithTestCauseAndIssue() {
        assertThat(KnownRed.lines()).hasSizeLessThanOrEqualTo(KnownRed.MAX_LINES);
        assertThat(KnownRed.lines()).allMatch(line -> line.matches("\\w+\\.\\w+: [^:]+: .+"));
    }
}
