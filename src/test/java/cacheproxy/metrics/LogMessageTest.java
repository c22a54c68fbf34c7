package cacheproxy.metrics;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class LogMessageTest {
    @Test
    void fieldsFollowThePhraseInTheirOrder() {
        assertThat(LogMessage.of("request expired").with("request", "r1").with("late_ms", 7L))
                .hasToString("request expired request=r1 late_ms=7");
    }

    @Test
    void aValueWithASpaceOrQuoteIsQuoted() {
        assertThat(LogMessage.of("x")
                        .with("cause", "say \"no\" \\ twice")
                        .with("none", null)
                        .with("empty", ""))
                .hasToString("x cause=\"say \\\"no\\\" \\\\ twice\" none=null empty=\"\"");
    }

    @Test
    void lineBreaksInAValueAreReplaced() {
        assertThat(LogMessage.of("x").with("client", "a\r\nrule_violation: b").toString())
                .isEqualTo("x client=\"a  rule_violation: b\"");
    }
}
