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

/** Whatever has failed before and whatever kind of poll still fails: what another kind brings is known in time. */
class EndpointListPollerPropertyTest {
    private static final double MAX_STALENESS_MS = 6000;

    /** What discovery does, in virtual time. */
    private static final class Discovery {
        private record Event(double atMs, int id, PollFailure failure) {}

        final SplittableRandom random;
        final EndpointListPoller poller;
        final PriorityQueue<Event> events = new PriorityQueue<>((a, b) -> Double.compare(a.atMs, b.atMs));
        final Map<Integer, PollKind> pending = new HashMap<>();
        double now;
        double firstResponseMs = Double.POSITIVE_INFINITY;
        boolean faulty = true;
        PollKind broken;
        double answerMs = 5;

        Discovery(long seed, boolean sharedDiscovery) {
            random = new SplittableRandom(seed);
            poller = new EndpointListPoller(new PollerSettings(sharedDiscovery, 10_000, 1, false), seed);
        }

        void carryOut(List<PollAction> actions) {
            for (PollAction action : actions) {
                if (action instanceof CancelPoll cancel) {
                    pending.remove(cancel.id());
                } else if (action instanceof StartPoll start) {
                    pending.put(start.id(), start.kind());
                    take(start);
                }
            }
            assertThat(pending).hasSizeLessThanOrEqualTo(EndpointListPoller.MAX_PENDING_POLLS);
            assertThat(poller.nextTimerMs()).as("something is always to come").isLessThan(now + 60_000);
        }

        private void take(StartPoll start) {
            if (!faulty && start.kind() != broken) {
                events.add(new Event(now + answerMs, start.id(), null));
                return;
            }
            switch (random.nextInt(3)) {
                case 0 -> {} // silent
                case 1 -> events.add(new Event(now + random.nextInt(300), start.id(), PollFailure.BROKEN));
                default -> events.add(new Event(now + random.nextInt(20), start.id(), PollFailure.REJECTED));
            }
        }

        void passTo(double until) {
            while (true) {
                double due = poller.nextTimerMs();
                double next = Math.min(due, events.isEmpty() ? Double.POSITIVE_INFINITY : events.peek().atMs);
                if (next > until) {
                    now = until;
                    return;
                }
                now = Math.max(now, next);
                if (due <= next) {
                    carryOut(poller.onTimer(now));
                    continue;
                }
                Event e = events.poll();
                if (pending.remove(e.id) == null) {
                    continue; // cancelled meanwhile
                }
                if (e.failure == null) {
                    firstResponseMs = Math.min(firstResponseMs, now);
                    carryOut(poller.onResponse(now, e.id, true));
                } else {
                    carryOut(poller.onFailure(now, e.id, e.failure));
                }
            }
        }
    }

    private static double responseAfter(long seed, boolean sharedDiscovery, PollKind broken, double answerMs) {
        Discovery d = new Discovery(seed, sharedDiscovery);
        d.carryOut(d.poller.start(0));
        d.passTo(new SplittableRandom(seed).nextInt(30_000));
        d.faulty = false;
        d.broken = broken;
        d.answerMs = answerMs;
        double from = d.now;
        d.passTo(from + 60_000);
        return d.firstResponseMs - from;
    }

    @Property(seed = "1", tries = 3000)
    void aChangeThatOneKindOfPollBringsIsKnownInTime(
            @ForAll long seed, @ForAll boolean sharedDiscovery, @ForAll PollKind broken) {
        assertThat(responseAfter(seed, sharedDiscovery, broken, 5)).isLessThan(MAX_STALENESS_MS);
    }

    /** A wait that is shorter than what answers take must not be renewed for ever. */
    @Property(seed = "1", tries = 300)
    void slowResponsesAreWaitedForAtSomeTime(@ForAll long seed, @ForAll boolean sharedDiscovery) {
        assertThat(responseAfter(seed, sharedDiscovery, null, 15_000)).isLessThan(60_000);
    }

    @Test
    void ofAThousandInstancesFewRequestASnapshotWhenWatchesAreUnanswered() {
        int snapshots = 0;
        for (int instance = 0; instance < 1000; instance++) {
            EndpointListPoller calls = new EndpointListPoller(new PollerSettings(true, 10_000, 1000, true), instance);
            calls.start(0);
            for (PollAction action : calls.onTimer(calls.nextTimerMs())) {
                snapshots += action instanceof StartPoll start && start.kind() == PollKind.SNAPSHOT ? 1 : 0;
            }
        }
        assertThat(snapshots).isBetween(0, 8);
    }
}
