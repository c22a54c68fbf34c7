package cacheproxy.proxy;

import cacheproxy.admission.RuleViolation;
import cacheproxy.admission.SafetyRules;
import cacheproxy.admission.Verdict;
import cacheproxy.metrics.EventKind;
import cacheproxy.metrics.LogMessage;
import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.UnaryOperator;

/**
 * Counts and logs attempts that {@link SafetyRules} forbade, and violations of the rules that occurred nevertheless.
 * Event loop only.
 */
public final class RuleMonitor {
    private final EventLog log;
    private final Map<Verdict, Long> forbidden = new EnumMap<>(Verdict.class);
    private final Map<RuleViolation, Long> violations = new EnumMap<>(RuleViolation.class);

    RuleMonitor(EventLog log) {
        this.log = log;
    }

    /** Records an attempt that was not sent because of this verdict. */
    void recordForbidden(RequestAttempt attempt, Verdict verdict) {
        forbidden.merge(verdict, 1L, Long::sum);
        ClientRequest request = attempt.request;
        log.log(
                EventKind.ATTEMPT_FORBIDDEN,
                requestMessage(verdict.key(), request)
                        .with("attempt", attempt.index)
                        .with("max_attempts", request.maxAttempts)
                        .with("server", Integer.toHexString(attempt.server)));
    }

    /** Records a violation of a rule. */
    void recordViolation(RuleViolation violation, ClientRequest request) {
        recordViolation(violation, request, message -> message);
    }

    /** Records a violation of a rule; {@code addDetails} adds details to the logged message. */
    void recordViolation(RuleViolation violation, ClientRequest request, UnaryOperator<LogMessage> addDetails) {
        violations.merge(violation, 1L, Long::sum);
        log.log(EventKind.RULE_VIOLATION, addDetails.apply(requestMessage(violation.key(), request)));
    }

    private static LogMessage requestMessage(String text, ClientRequest request) {
        return LogMessage.of(text)
                .with("request", request.command.id)
                .with("state", request.state().key());
    }

    /** The number of attempts that were not sent, by verdict. */
    Map<Verdict, Long> forbidden() {
        return forbidden;
    }

    /** The number of violations, by kind. */
    Map<RuleViolation, Long> violations() {
        return violations;
    }

    /** Both counts, by the keys of verdicts and violations. */
    public RuleCounts counts() {
        Map<String, Long> forbiddenByKey = new TreeMap<>();
        forbidden.forEach((verdict, count) -> forbiddenByKey.put(verdict.key(), count));
        Map<String, Long> violationsByKey = new TreeMap<>();
        violations.forEach((violation, count) -> violationsByKey.put(violation.key(), count));
        return new RuleCounts(forbiddenByKey, violationsByKey);
    }
}
