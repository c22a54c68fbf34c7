package cacheproxy.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import org.junit.jupiter.api.Test;

/** Pins the names in logs and counters: alerts depend on them, so they stay when a constant is renamed. */
class StableNamesTest {
    @Test
    void verdictKeys() {
        assertThat(Arrays.stream(Verdict.values()).map(Verdict::key))
                .containsExactly(
                        "allowed",
                        "request_answered",
                        "client_gone",
                        "no_time_left",
                        "attempts_spent",
                        "server_not_ready",
                        "may_have_run",
                        "other_group",
                        "window_over",
                        "second_copy");
    }

    @Test
    void ruleViolationKeys() {
        assertThat(Arrays.stream(RuleViolation.values()).map(RuleViolation::key))
                .containsExactly(
                        "answered_twice",
                        "answered_late",
                        "closed_owing",
                        "told_too_much",
                        "refused_though_it_may_have_run");
    }

    @Test
    void requestStateKeys() {
        assertThat(Arrays.stream(RequestState.values()).map(RequestState::key))
                .containsExactly("OPEN", "STREAMING", "ANSWERED", "CLIENT_GONE");
    }
}
