package cacheproxy.routing;

import cacheproxy.endpoints.EndpointListFreshness;
import cacheproxy.endpoints.PollBackoff;
import java.util.SplittableRandom;

/**
 * Decides when this instance subscribes to changes of the endpoint list, in deployments in which it has to poll
 * discovery. The delay after failed calls is that of {@link PollBackoff}. Times in milliseconds.
 *
 * <pre>
 * IDLE        -> SUBSCRIBING  a delay has ended
 * SUBSCRIBING -> SUBSCRIBED   discovery has responded with entries
 * any         -> IDLE         the call or the subscription has failed
 * </pre>
 */
final class EndpointListWatch {
    private enum State {
        IDLE,
        SUBSCRIBING,
        SUBSCRIBED
    }

    private final SplittableRandom random;
    private State state = State.IDLE;
    private PollBackoff backoff;
    private double pollIntervalMs = Double.NaN;
    private double subscribedAtMs;

    EndpointListWatch(SplittableRandom random) {
        this.random = random;
    }

    void onSettings(RoutingSettings settings) {
        if (pollIntervalMs != settings.pollIntervalMs()) {
            pollIntervalMs = settings.pollIntervalMs();
            backoff = new PollBackoff(pollIntervalMs);
        }
    }

    /**
     * The random delay until the first call after a start with a cached list. Discovery has little capacity, so the
     * instances of a fleet that starts together must not all call at once.
     */
    double firstPollDelayMs(RoutingSettings settings) {
        double limitMs = Math.min(settings.pollIntervalMs(), EndpointListFreshness.MAX_STALENESS_MS);
        double spanMs = Math.min(limitMs, settings.instanceCount() * settings.connectTimeoutMs()) / 2;
        return random.nextDouble() * spanMs;
    }

    /** Discovery has responded to a call of this instance with the list or with changes. */
    void onEntries() {
        if (state == State.SUBSCRIBING) {
            state = State.SUBSCRIBED;
            backoff.reset();
        }
    }

    /** A call or the subscription has failed. Returns the delay until the next call. */
    double onFailure(double nowMs) {
        state = State.IDLE;
        return backoff.nextDelayMs(nowMs - subscribedAtMs, random);
    }

    /** A delay has ended. Returns whether to subscribe now; if so, the state is SUBSCRIBING. */
    boolean subscribe(double nowMs) {
        if (state != State.IDLE) {
            return false;
        }
        state = State.SUBSCRIBING;
        subscribedAtMs = nowMs;
        return true;
    }
}
