package cacheproxy.routing;

import java.util.SplittableRandom;
import java.util.function.Supplier;

/**
 * Which requests an endpoint gets while it warms up after its start, so that it isn't overloaded. The CARP draft knows
 * no cold member.
 *
 * <p>Two limits. Of one key an endpoint takes no more than its fair part of what this instance sees. And it takes only
 * keys whose sample, the same at all instances, lies under its ramp; the others stay with their successors in the
 * ranking. The ramp is what it can do, less where endpoints are missing and each has the keys of others, and less where
 * clients' repeats add to an overload. Any less would leave the keys of a replaced endpoint to warm ones that have
 * their own: all instances alike would overload these. Hot keys, retries and clients' repeats keep off it: they are
 * what pushes it over.
 *
 * <p>Times in milliseconds, fractions 0 to 1, loads in units of what a warm endpoint can do.
 */
final class SlowStart {
    /** Of what overloads a cold endpoint, no more than this part may reach it for want of other endpoints. */
    private static final double OVERLOAD_PART = 0.5;
    /** In so many warm-ups a fleet that has shrunk counts as the usual one by half. */
    private static final double USUAL_WEIGHT_HALF_LIFE_WARM_UPS = 4;

    private final Supplier<RoutingSettings> settings;
    private final SplittableRandom random;
    private final HotKeys hotKeys;
    private final LatencyEstimates latency;
    private final AdaptiveThrottle endpointThrottle;
    /** Reads, halving in the time over which the overload of a cold endpoint is counted. */
    private final DecayingCounter reads = new DecayingCounter();

    private final DecayingCounter usualWeight = new DecayingCounter();
    private double weight;
    /** What the fleet is asked to read over what its endpoints can do, as far as this instance can tell. */
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
        usualWeight.decay(
                nowMs,
                Math.max(1, USUAL_WEIGHT_HALF_LIFE_WARM_UPS * settings.get().warmUpMs()));
        usualWeight.raiseTo(totalWeight);
    }

    /**
     * One more read: measures what the fleet is offered. Each instance takes the others to be asked as much as it is
     * itself, so those that are asked more send a cold endpoint less, and all together send it no more than was
     * reckoned. An endpoint can do more than one read in the time that one usually takes there: what overloads counts
     * as more than it is.
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
        double ramp = ramp(nowMs, endpoint.endpoint());
        return isWithinFairPart(request, endpoint) && CarpHash.keyFraction(request.keyHash(), endpoint.hash()) < ramp;
    }

    /** Which part of its keys it takes now. */
    private double ramp(double nowMs, Endpoint endpoint) {
        RoutingSettings now = settings.get();
        double ageMs = nowMs - endpoint.localStartTimeMs();
        double linear = now.initialCapacity() + (1 - now.initialCapacity()) * Math.max(0, ageMs) / now.warmUpMs();
        // How it warms up is not known: it must also stand what it gets if it stays at its initial capacity for long.
        double capacity = Math.min(linear, now.overloadMultiple() * now.initialCapacity() / offeredLoad);
        double underPressure = Math.min(1, now.overloadMultiple() * OVERLOAD_PART / endpointThrottle.pressure(nowMs));
        double presentPart = usualWeight.value() > 0 ? weight / usualWeight.value() : 1;
        return capacity * presentPart * underPressure;
    }

    private boolean isWithinFairPart(PendingRequest request, EndpointEntry endpoint) {
        return request.keyCount() <= 1 || random.nextDouble() * request.keyCount() < hotKeys.total() * endpoint.share();
    }
}
