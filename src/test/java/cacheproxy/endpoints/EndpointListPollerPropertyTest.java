package cacheproxy.endpoints;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.endpoints.EndpointListPoller.CancelPoll;
import cacheproxy.endpoints.EndpointListPoller.PollAction;
import cacheproxy.endpoints.EndpointListPoller.PollFailure;
import cacheproxy.endpoints.EndpointListPoller.PollKind;
import cacheproxy.endpoints.EndpointListPoller.StartPoll;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Whatever has failed before and whatever form fails still: what another form would bring is learnt in time. */
class EndpointListPollerPropertyTest {
    private static final double KNOWN_MS = 6000;

    /** What discovery does, in virtual time. */
    private static final class Discovery {
        private record Event(double atMs, int id, PollFailure failure) {}

        final SplittableRandom random;
        final EndpointListPoller calls;
        final PriorityQueue<Event> events = new PriorityQueue<>((a, b) -> Double.compare(a.atMs, b.atMs));
        final Map<Integer, PollKind> out = new HashMap<>();
        double now;
        double answeredMs = Double.POSITIVE_INFINITY;
        boolean ill = true;
        PollKind broken;
        double answerMs = 5;

        Discovery(long seed, boolean asked) {
            random = new SplittableRandom(seed);
            calls = new EndpointListPoller(new EndpointListPoller.PollerSettings(asked, 10_000, 1, false), seed);
        }

        void carryOut(List<PollAction> orders) {
            for (PollAction order : orders) {
                if (order instanceof CancelPoll giveUp) {
                    out.remove(giveUp.id());
                } else if (order instanceof StartPoll begin) {
                    out.put(begin.id(), begin.kind());
                    take(begin);
                }
            }
            assertThat(out).hasSizeLessThanOrEqualTo(EndpointListPoller.MOST_OUT);
            assertThat(calls.nextTimerMs()).as("something is always to come").isLessThan(now + 60_000);
        }

        private void take(StartPoll begin) {
            if (!ill && begin.kind() != broken) {
                events.add(new Event(now + answerMs, begin.id(), null));
                return;
            }
            switch (random.nextInt(3)) {
                case 0 -> {} // silent
                case 1 -> events.add(new Event(now + random.nextInt(300), begin.id(), PollFailure.BROKEN));
                default -> events.add(new Event(now + random.nextInt(20), begin.id(), PollFailure.REJECTED));
            }
        }

        void passTo(double until) {
            while (true) {
                double due = calls.nextTimerMs();
                double next = Math.min(due, events.isEmpty() ? Double.POSITIVE_INFINITY : events.peek().atMs);
                if (next > until) {
                    now = until;
                    return;
                }
                now = Math.max(now, next);
                if (due <= next) {
                    carryOut(calls.onTimer(now));
                    continue;
                }
                Event e = events.poll();
                if (out.remove(e.id) == null) {
                    continue; // given up meanwhile
                }
                if (e.failure == null) {
                    answeredMs = Math.min(answeredMs, now);
                    carryOut(calls.onResponse(now, e.id, true));
                } else {
                    carryOut(calls.onFailure(now, e.id, e.failure));
                }
            }
        }
    }

    private static double learntAfter(long seed, boolean asked, PollKind broken, double answerMs) {
        Discovery d = new Discovery(seed, asked);
        d.carryOut(d.calls.start(0));
        d.passTo(new SplittableRandom(seed).nextInt(30_000));
        d.ill = false;
        d.broken = broken;
        d.answerMs = answerMs;
        double from = d.now;
        d.passTo(from + 60_000);
        return d.answeredMs - from;
    }

    @Property(seed = "1", tries = 3000)
    void whatOneFormWouldBringIsLearntInTime(@ForAll long seed, @ForAll boolean asked, @ForAll PollKind broken) {
        assertThat(learntAfter(seed, asked, broken, 5)).isLessThan(KNOWN_MS);
    }

    /** A wait that is shorter than what answers take must not be renewed for ever. */
    @Property(seed = "1", tries = 300)
    void answersThatTakeLongAreWaitedForSomeTime(@ForAll long seed, @ForAll boolean asked) {
        assertThat(learntAfter(seed, asked, null, 15_000)).isLessThan(60_000);
    }

    @Test
    void withAThousandInstancesFewAskForTheWholeListWhereWatchesFallSilent() {
        int whole = 0;
        for (int instance = 0; instance < 1000; instance++) {
            EndpointListPoller calls =
                    new EndpointListPoller(new EndpointListPoller.PollerSettings(true, 10_000, 1000, true), instance);
            calls.start(0);
            for (PollAction order : calls.onTimer(calls.nextTimerMs())) {
                whole += order instanceof StartPoll begin && begin.kind() == PollKind.SNAPSHOT ? 1 : 0;
            }
        }
        assertThat(whole).isBetween(0, 8);
    }
}
