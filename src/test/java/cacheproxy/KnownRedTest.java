package cacheproxy;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Checks that each line of the list of known failures names its test, cause and issue, and how entries are matched. */
class KnownRedTest {
    @Test
    void eachLineNamesTestCauseAndIssue() {
        assertThat(KnownRed.lines()).allMatch(line -> line.matches("\\w+\\.\\w+(\\[\\d+])?( \\(flaky\\))?: [^:]+: .+"));
    }

    @Test
    void aFaultHasOneEntry() {
        assertThat(KnownRed.lines().stream().map(line -> line.substring(0, line.indexOf(':'))))
                .doesNotHaveDuplicates();
    }

    /** Guards against an entry that covers other tests or invocations than its own. */
    @Test
    void anEntryCoversItsOwnTestAlone() {
        assertThat(KnownRed.isEntryOf("Some.test[1]", "Some.test[1] (flaky): late: 1"))
                .isTrue();
        assertThat(KnownRed.isEntryOf("Some.test[1]", "Some.test[11] (flaky): late: 1"))
                .isFalse();
        assertThat(KnownRed.isEntryOf("Some.test", "Some.test[1]: late: 1")).isFalse();
        assertThat(KnownRed.isEntryOf("Some.test", "Some.tests: late: 1")).isFalse();
    }

    @Test
    void onlyAMarkedEntryIsFlaky() {
        assertThat(KnownRed.isFlaky("Some.test (flaky): late: 1")).isTrue();
        assertThat(KnownRed.isFlaky("Some.test: late (flaky): 1")).isFalse();
    }
}
