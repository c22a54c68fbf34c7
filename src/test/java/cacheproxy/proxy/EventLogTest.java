package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.admission.RequestState;
import cacheproxy.admission.RuleViolation;
import cacheproxy.admission.Verdict;
import cacheproxy.metrics.EventKind;
import cacheproxy.metrics.LogMessage;
import cacheproxy.proxy.protocol.DeadlineTemplate;
import cacheproxy.proxy.protocol.RequestCommand;
import cacheproxy.proxy.protocol.RequestParameters;
import cacheproxy.routing.EndpointLocation;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The text of event log lines. */
class EventLogTest {
    private static final int BURST = 20;

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private double nowMs = 1000;
    private final EventLog log = new EventLog(new PrintStream(out, true, StandardCharsets.UTF_8), () -> nowMs);

    private List<String> lines() {
        return out.toString(StandardCharsets.UTF_8).lines().toList();
    }

    private static ClientRequest request() {
        RequestParameters parameters = new RequestParameters("text", null, 100, Double.NaN, 0, false);
        RequestCommand command =
                new RequestCommand(0, "key", "r7", false, parameters, DeadlineTemplate.EMPTY, DeadlineTemplate.EMPTY);
        ClientRequest request = new ClientRequest(null, command, 0);
        request.maxAttempts = 3;
        return request;
    }

    @Test
    void eachLineBeginsWithItsKind() {
        log.log(
                EventKind.CLIENT_TIMEOUT,
                LogMessage.of("client stopped sending").with("client", "/127.0.0.1:9"));
        log.log(EventKind.INFO, "the settings stay as they are");
        assertThat(lines())
                .containsExactly(
                        "client_timeout: client stopped sending client=/127.0.0.1:9",
                        "info: the settings stay as they are");
    }

    @Test
    void theNextLineOfAKindSaysHowManyWereSuppressed() {
        for (int i = 0; i < BURST + 2; i++) {
            log.log(EventKind.REQUEST_INVALID, "id of another request");
        }
        nowMs += 1000;
        log.log(EventKind.REQUEST_INVALID, "id of another request");
        assertThat(lines()).hasSize(BURST + 1).last().isEqualTo("request_invalid: id of another request suppressed=2");
    }

    @Test
    void forbiddenActionsAndViolationsAreLoggedWithTheirIds() {
        RuleMonitor rules = new RuleMonitor(log);
        ClientRequest request = request();
        rules.recordForbidden(
                new RequestAttempt(null, request, 1, 0x1a, new EndpointLocation(0, 0), 0, 100), Verdict.ALLOWED);
        request.transitionTo(RequestState.ANSWERED);
        rules.recordViolation(RuleViolation.ANSWERED_LATE, request, message -> message.with("late_ms", 700));
        assertThat(lines())
                .containsExactly(
                        "attempt_forbidden: allowed request=r7 state=OPEN attempt=1 max_attempts=3 server=1a",
                        "rule_violation: answered_late request=r7 state=ANSWERED late_ms=700");
        assertThat(rules.counts().violations()).containsEntry("answered_late", 1L);
    }
}
