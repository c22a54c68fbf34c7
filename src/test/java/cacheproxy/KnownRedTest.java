package cacheproxy;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** The list of known failures stays short, and each line says what it stands for. */
class KnownRedTest {
    @Test
    void theListHoldsFewLinesEachWithTestCauseAndIssue() {
        assertThat(KnownRed.lines()).hasSizeLessThanOrEqualTo(KnownRed.MAX_LINES);
        assertThat(KnownRed.lines()).allMatch(line -> line.matches("\\w+\\.\\w+: [^:]+: .+"));
    }
}
