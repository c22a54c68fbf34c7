package cacheproxy.endpoints;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/**
 * Whatever failed before, and even if one kind of poll still fails, a change that the other kinds return is known
 * within the maximum staleness.
 */
class EndpointListPollerPropertyTest {
    private static final double MAX_STALENESS_MS = 6000;

    /** A simulated discovery service in virtual time. */
    private static final class Discovery {
        private record Event(double atMs, int id, PollFailure failure) {}

        final SplittableRandom random;
        final EndpointListPoller poller;
        final PriorityQueue<Event> events = new PriorityQueue<>((a, b) -> Double.compare(a.atMs, b.atMs));
        final Map<Integer, PollKind> pending = new HashMap<>();
        double nowMs;
        double firstResponseMs = Double.POSITIVE_INFINITY;
        boolean faulty = true;
        PollKind broken;
        double responseMs = 5;

        Discovery(long seed, boolean sharedDiscovery) {
            random = new SplittableRandom(seed);
            poller = new EndpointListPoller(new PollerSettings(sharedDiscovery, 10_000, 1, false), seed);
        }

        void execute(List<PollAction> actions) {
            for (PollAction action : actions) {
                if (action instanceof CancelPoll cancel) {
                    pending.remove(cancel.id());
                } else if (action instanceof StartPoll start) {
                    pending.put(start.id(), start.kind());
                    answer(start);
                }
            }
            assertThat(pending).hasSizeLessThanOrEqualTo(EndpointListPoller.MAX_PENDING_POLLS);
            assertThat(poller.nextTimerMs()).as("a timer is always set").isLessThan(nowMs + 60_000);
        }

        private void answer(StartPoll start) {
            if (!faulty && start.kind() != broken) {
                events.add(new Event(nowMs + responseMs, start.id(), null));
                return;
            }
            switch (random.nextInt(3)) {
                case 0 -> {} // never answered
                case 1 -> events.add(new Event(nowMs + random.nextInt(300), start.id(), PollFailure.BROKEN));
                default -> events.add(new Event(nowMs + random.nextInt(20), start.id(), PollFailure.REJECTED));
            }
        }

        void advanceTo(double untilMs) {
            while (true) {
                double timerMs = poller.nextTimerMs();
                double nextMs = Math.min(timerMs, events.isEmpty() ? Double.POSITIVE_INFINITY : events.peek().atMs);
                if (nextMs > untilMs) {
                    nowMs = untilMs;
                    return;
                }
                nowMs = Math.max(nowMs, nextMs);
                if (timerMs <= nextMs) {
                    execute(poller.onTimer(nowMs));
                    continue;
                }
                Event event = events.poll();
                if (pending.remove(event.id) == null) {
                    continue; // cancelled meanwhile
                }
                if (event.failure == null) {
                    firstResponseMs = Math.min(firstResponseMs, nowMs);
                    execute(poller.onResponse(nowMs, event.id, true));
                } else {
                    execute(poller.onFailure(nowMs, event.id, event.failure));
                }
            }
        }
    }

    private static double timeToResponse(long seed, boolean sharedDiscovery, PollKind broken, double responseMs) {
        Discovery discovery = new Discovery(seed, sharedDiscovery);
        discovery.execute(discovery.poller.start(0));
        discovery.advanceTo(new SplittableRandom(seed).nextInt(30_000));
        discovery.faulty = false;
        discovery.broken = broken;
        discovery.responseMs = responseMs;
        double startMs = discovery.nowMs;
        discovery.advanceTo(startMs + 60_000);
        return discovery.firstResponseMs - startMs;
    }

    @Property(seed = "1", tries = 3000)
    void aChangeIsKnownInTimeWhileOneKindOfPollFails(
            @ForAll long seed, @ForAll boolean sharedDiscovery, @ForAll PollKind broken) {
        assertThat(timeToResponse(seed, sharedDiscovery, broken, 5)).isLessThan(MAX_STALENESS_MS);
    }

    /** Guards against a timeout shorter than discovery's response time that cancels every poll before its response. */
    @Property(seed = "1", tries = 300)
    void slowResponsesAreEventuallyReceived(@ForAll long seed, @ForAll boolean sharedDiscovery) {
        assertThat(timeToResponse(seed, sharedDiscovery, null, 15_000)).isLessThan(60_000);
    }

    @Test
    void fewOfAThousandInstancesRequestASnapshotWhenWatchesAreUnanswered() {
        int snapshots = 0;
        for (int instance = 0; instance < 1000; instance++) {
            EndpointListPoller poller = new EndpointListPoller(new PollerSettings(true, 10_000, 1000, true), instance);
            poller.start(0);
            for (PollAction action : poller.onTimer(poller.nextTimerMs())) {
                snapshots += action instanceof StartPoll start && start.kind() == PollKind.SNAPSHOT ? 1 : 0;
            }
        }
        assertThat(snapshots).isBetween(0, 8);
    }
}
