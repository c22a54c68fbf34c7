package cacheproxy.proxy;

import cacheproxy.admission.RuleViolation;
import cacheproxy.admission.SafetyRules;
import cacheproxy.admission.Verdict;
import cacheproxy.metrics.EventKind;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Counts what {@link SafetyRules} forbade and what went against a rule all the same, and logs each with its ids. */
final class RuleMonitor {
    private final EventLog log;
    private final Map<Verdict, Long> forbidden = new EnumMap<>(Verdict.class);
    private final Map<RuleViolation, Long> breaches = new EnumMap<>(RuleViolation.class);

    RuleMonitor(EventLog log) {
        this.log = log;
    }

    /** An attempt was ordered and did not begin. */
    void forbade(RequestAttempt attempt, Verdict verdict) {
        forbidden.merge(verdict, 1L, Long::sum);
        ClientRequest request = attempt.request;
        log.log(
                EventKind.ATTEMPT_FORBIDDEN,
                String.format(
                        Locale.ROOT,
                        "%s: request %s state %s attempt %d of %d server %s",
                        verdict.key(),
                        request.command.id,
                        request.state().key(),
                        attempt.index,
                        request.maxAttempts,
                        Integer.toHexString(attempt.server)));
    }

    /** A rule was seen to be broken. */
    void breached(RuleViolation breach, ClientRequest request, String detail) {
        breaches.merge(breach, 1L, Long::sum);
        log.log(
                EventKind.RULE_VIOLATION,
                breach.key() + ": request " + request.command.id + " state "
                        + request.state().key() + ": " + detail);
    }

    /** What was forbidden so far, by the condition. */
    Map<Verdict, Long> forbidden() {
        return forbidden;
    }

    /** What was seen to go against a rule so far, by its kind. */
    Map<RuleViolation, Long> breaches() {
        return breaches;
    }

    /** Both, by their stable names. */
    RuleCounts counts() {
        Map<String, Long> forbiddenByKey = new TreeMap<>();
        forbidden.forEach((verdict, count) -> forbiddenByKey.put(verdict.key(), count));
        Map<String, Long> breachesByKey = new TreeMap<>();
        breaches.forEach((breach, count) -> breachesByKey.put(breach.key(), count));
        return new RuleCounts(forbiddenByKey, breachesByKey);
    }
}
