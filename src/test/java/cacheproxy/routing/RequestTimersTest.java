package cacheproxy.routing;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.routing.RequestTimers.Kind;
import java.util.List;
import org.junit.jupiter.api.Test;

class RequestTimersTest {
    private final LoadBalancerHarness orders = LoadBalancerHarness.cacheAside();
    private final RequestTimers timers = new RequestTimers();

    private static PendingRequest request() {
        RoutingSettings settings = LoadBalancerHarness.settings(true, false, false, DeduplicationScope.ALL);
        return new PendingRequest(new Request(1, 0, 0, 7, 2000, 0, 0, false, false), settings, null, 1000);
    }

    /** Tokens are sent over the wire: a sequence number, with the kind in the two lowest bits. */
    @Test
    void tokensKeepTheirNumbering() {
        PendingRequest request = request();
        timers.set(5, Kind.DEADLINE, request, orders);
        timers.set(5, Kind.HEDGE, request, orders);
        timers.set(5, Kind.RETRY, request, orders);
        timers.set(5, Kind.LIST_POLL, orders);
        assertThat(orders.timers).extracting(LoadBalancerHarness.Timer::token).containsExactly(0, 5, 10, 15);
    }

    @Test
    void aTimerComesDueOnce() {
        PendingRequest request = request();
        timers.set(5, Kind.HEDGE, request, orders);
        assertThat(timers.due(1)).isEqualTo(new RequestTimers.Due(Kind.HEDGE, request));
        assertThat(timers.due(1)).isEqualTo(new RequestTimers.Due(Kind.HEDGE, null));
    }

    @Test
    void aRequestThatStreamsOrIsDoneWaitsForNothing() {
        for (boolean done : List.of(false, true)) {
            PendingRequest request = request();
            assertThat(request.isUnanswered()).isTrue();
            request.startWaiting();
            assertThat(request.isWaiting()).isTrue();
            assertThat(request.resume()).isTrue();
            request.startStreaming();
            if (done) {
                request.finish();
                request.startStreaming();
            }
            request.startWaiting();
            assertThat(request.isWaiting()).isFalse();
            assertThat(request.resume()).isFalse();
            assertThat(request.isUnanswered()).isFalse();
            assertThat(request.isDone()).isEqualTo(done);
            assertThat(request.isStreaming()).isEqualTo(!done);
        }
    }
}
