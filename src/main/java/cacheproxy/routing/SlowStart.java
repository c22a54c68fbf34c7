package cacheproxy.routing;

import java.util.SplittableRandom;
import java.util.function.Supplier;

/**
 * Limits the requests that an endpoint gets while it warms up after its start, so that it isn't overloaded. Not part of
 * the CARP draft, which doesn't consider cold members.
 *
 * <p>Two limits apply. For any one key, an endpoint gets no more than its fair share of the requests this instance
 * sees. And it gets only keys whose {@link CarpHash#keyFraction}, a fixed pseudo-random number per key and endpoint
 * that is the same at all instances, is below the admitted fraction; other keys go to their successors in the ranking.
 * The admitted fraction is the present capacity of the endpoint, reduced when endpoints are missing, because the others
 * then also serve their keys, and reduced when client retries add to an overload. A lower fraction would make all
 * instances send the keys of a replaced endpoint to warm endpoints and overload these. Requests for hot keys, retries
 * and client retries are not admitted, because they come in bursts.
 *
 * <p>Times in milliseconds, fractions 0 to 1, loads relative to the capacity of a warm endpoint.
 */
final class SlowStart {
    /**
     * While client retries add to an overload, a cold endpoint gets at most this fraction of the load that would
     * overload it.
     */
    private static final double OVERLOAD_FRACTION = 0.5;
    /** The half-life of the baseline weight, in warm-up times; after a fleet shrinks, its baseline follows slowly. */
    private static final double BASELINE_WEIGHT_HALF_LIFE_WARM_UPS = 4;

    private final Supplier<RoutingSettings> settings;
    private final SplittableRandom random;
    private final HotKeys hotKeys;
    private final LatencyEstimates latency;
    private final AdaptiveThrottle endpointThrottle;
    /** Reads, decaying with the overload window ({@link RoutingSettings#overloadWindowMs}) as half-life. */
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

    /**
     * The ranked endpoints have changed. The baseline weight follows a higher total at once and decays to a lower one.
     */
    void onRanked(double nowMs, double totalWeight) {
        weight = totalWeight;
        baselineWeight.decay(
                nowMs,
                Math.max(1, BASELINE_WEIGHT_HALF_LIFE_WARM_UPS * settings.get().warmUpMs()));
        baselineWeight.raiseTo(totalWeight);
    }

    /**
     * Counts a read and updates the estimate of the fleet's offered load per endpoint, in concurrent reads (Little's
     * law): {@code instances * readsPerMs * latencyMs / endpoints}, where {@code readsPerMs} is the decayed count times
     * {@code ln 2 / halfLifeMs}. Each instance assumes that the others receive as many reads as it does, so instances
     * with more reads send a cold endpoint less. An endpoint can serve several reads at once, so the estimate is too
     * high under overload, which is the safe side.
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

    /** Whether an endpoint may get this request; always true for one that is not warming up. */
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

    /** The fraction of its keys that the endpoint gets now. */
    private double admittedFraction(double nowMs, Endpoint endpoint) {
        RoutingSettings now = settings.get();
        double ageMs = nowMs - endpoint.localStartTimeMs();
        double linear = now.initialCapacity() + (1 - now.initialCapacity()) * Math.max(0, ageMs) / now.warmUpMs();
        // The real warm-up curve is unknown: the load must also be safe if the endpoint stays at its initial capacity.
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
