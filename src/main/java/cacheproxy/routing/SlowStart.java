package cacheproxy.routing;

import java.util.SplittableRandom;
import java.util.function.Supplier;

/**
 * Which requests an endpoint gets while it warms up after its start, so that it isn't overloaded. The CARP draft knows
 * no cold member.
 *
 * <p>Two limits. Of one key an endpoint takes no more than its fair part of what this instance sees. And it takes only
 * keys whose {@link CarpHash#keyFraction}, a fixed pseudo-random number per key and endpoint that is the same at all
 * instances, lies below the admitted fraction (the ramp); the others go to their successors in the ranking. The
 * admitted fraction is the capacity that the endpoint has by now, less where endpoints are missing and each has the
 * keys of others, and less where clients' repeats add to an overload. If it were lower, all instances alike would send
 * the keys of a replaced endpoint to warm ones, and overload these. Hot keys, retries and clients' repeats are not
 * admitted: they come in bursts.
 *
 * <p>Times in milliseconds, fractions 0 to 1, loads in units of what a warm endpoint can do.
 */
final class SlowStart {
    /**
     * A cold endpoint gets at most this part of the load that would overload it, while clients' repeats add to an
     * overload.
     */
    private static final double OVERLOAD_FRACTION = 0.5;
    /** In so many warm-ups a fleet that has shrunk counts as the usual one by half. */
    private static final double BASELINE_WEIGHT_HALF_LIFE_WARM_UPS = 4;

    private final Supplier<RoutingSettings> settings;
    private final SplittableRandom random;
    private final HotKeys hotKeys;
    private final LatencyEstimates latency;
    private final AdaptiveThrottle endpointThrottle;
    /** Reads, halving in the time over which the overload of a cold endpoint is counted. */
    private final DecayingCounter reads = new DecayingCounter();

    private final DecayingCounter baselineWeight = new DecayingCounter();
    private double weight;
    /** The estimate of {@link #recordRead}. */
    private double offeredLoad;

    SlowStart(
            Supplier<RoutingSettings> settings,
            SplittableRandom random,
            HotKeys hotKeys,
            LatencyEstimates latency,
            AdaptiveThrottle endpointThrottle) {
        this.settings = settings;
        this.random = random;
        this.hotKeys = hotKeys;
        this.latency = latency;
        this.endpointThrottle = endpointThrottle;
    }

    /** The endpoints have been ranked anew; their weights together. The usual weight decays to a lower one. */
    void onRanked(double nowMs, double totalWeight) {
        weight = totalWeight;
        baselineWeight.decay(
                nowMs,
                Math.max(1, BASELINE_WEIGHT_HALF_LIFE_WARM_UPS * settings.get().warmUpMs()));
        baselineWeight.raiseTo(totalWeight);
    }

    /**
     * One more read: estimates the fleet's offered load per endpoint, in reads in progress (Little's law):
     * {@code instances * readsPerMs * latencyMs / endpoints}. {@code readsPerMs} is the decayed count times {@code ln 2
     * / halfLifeMs}. Each instance assumes that the others receive as much as it does itself, so those that receive
     * more send a cold endpoint less. An endpoint can serve several reads at once, so the estimate is high where there
     * is an overload, which is the safe side.
     */
    void recordRead(double nowMs, int endpoints) {
        double halfLifeMs = Math.max(1, settings.get().overloadWindowMs());
        reads.decay(nowMs, halfLifeMs);
        double readsPerMs = settings.get().instanceCount() * reads.value() * Math.log(2) / halfLifeMs;
        offeredLoad = readsPerMs * latency.endpointMs() / Math.max(1, endpoints);
        reads.increment();
    }

    boolean isWarmingUp(double nowMs, EndpointEntry entry) {
        Endpoint endpoint = entry.endpoint();
        return endpoint.startTimeMs() != 0
                && nowMs - endpoint.localStartTimeMs() < settings.get().warmUpMs();
    }

    /** Whether an endpoint may have this request; always where it has warmed up. */
    boolean admits(double nowMs, PendingRequest request, EndpointEntry endpoint) {
        if (!isWarmingUp(nowMs, endpoint)) {
            return true;
        }
        boolean repeated = request.attemptCount() > 0 || request.request().clientRetry();
        if (repeated || request.replicas() > 1) {
            return false;
        }
        double admittedFraction = admittedFraction(nowMs, endpoint.endpoint());
        return isWithinFairShare(request, endpoint)
                && CarpHash.keyFraction(request.keyHash(), endpoint.hash()) < admittedFraction;
    }

    /** Which part of its keys it takes now. */
    private double admittedFraction(double nowMs, Endpoint endpoint) {
        RoutingSettings now = settings.get();
        double ageMs = nowMs - endpoint.localStartTimeMs();
        double linear = now.initialCapacity() + (1 - now.initialCapacity()) * Math.max(0, ageMs) / now.warmUpMs();
        // How it warms up is not known: it must also stand what it gets if it stays at its initial capacity for long.
        double capacity = Math.min(linear, now.overloadMultiple() * now.initialCapacity() / offeredLoad);
        double overloadFactor =
                Math.min(1, now.overloadMultiple() * OVERLOAD_FRACTION / endpointThrottle.overloadRatio(nowMs));
        double presentFraction = baselineWeight.value() > 0 ? weight / baselineWeight.value() : 1;
        return capacity * presentFraction * overloadFactor;
    }

    private boolean isWithinFairShare(PendingRequest request, EndpointEntry endpoint) {
        return request.keyCount() <= 1 || random.nextDouble() * request.keyCount() < hotKeys.total() * endpoint.share();
    }
}
