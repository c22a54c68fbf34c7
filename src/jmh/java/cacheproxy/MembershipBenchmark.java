package cacheproxy;

import cacheproxy.membership.Membership;
import cacheproxy.membership.MembershipSettings;
import cacheproxy.membership.OutgoingMessage;
import cacheproxy.membership.OutgoingMessage.Urgency;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** What one probe round of the view costs: a tick that asks, and the answer that comes. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class MembershipBenchmark {
    private static final Membership.MessageBudget ALL = new Membership.MessageBudget() {
        @Override
        public boolean tryAcquire(double nowMs, int bytes, Urgency urgency) {
            return true;
        }

        @Override
        public int availableBytes(double nowMs) {
            return Membership.MAX_MESSAGE_BYTES;
        }
    };

    /** In the fleet. */
    @Param({"10", "100", "1000"})
    public int members;

    private Membership[] all;
    private double now;

    /** The first has heard of all, and has nothing more to tell. */
    @Setup
    public void setUp() {
        all = new Membership[members];
        for (int i = 0; i < members; i++) {
            all[i] = new Membership(MembershipSettings.forConfigured(members), i, 0, new byte[0], 0, i, ALL);
            if (i > 0) {
                all[i].tick(now);
                int from = i;
                all[i].takeOutgoing().forEach(s -> all[0].messageReceived(now, from, s.body()));
            }
        }
        for (int i = 0; i < 2000; i++) {
            round();
        }
    }

    /** One round of the first instance, with the answers of whom it asks. */
    @Benchmark
    public int round() {
        now += 250;
        all[0].tick(now);
        List<OutgoingMessage> asked = all[0].takeOutgoing();
        for (OutgoingMessage s : asked) {
            all[s.to()].messageReceived(now, 0, s.body());
            for (OutgoingMessage back : all[s.to()].takeOutgoing()) {
                if (back.to() == 0) {
                    all[0].messageReceived(now, s.to(), back.body());
                }
            }
        }
        all[0].takeOutgoing();
        return asked.size();
    }
}
