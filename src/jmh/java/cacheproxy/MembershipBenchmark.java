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

/** The cost of one probe round: a tick that sends a probe, and the answer that is received. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class MembershipBenchmark {
    private static final Membership.MessageBudget UNLIMITED = new Membership.MessageBudget() {
        @Override
        public boolean tryAcquire(double nowMs, int bytes, Urgency urgency) {
            return true;
        }

        @Override
        public int availableBytes(double nowMs) {
            return Membership.MAX_MESSAGE_BYTES;
        }
    };

    /** The number of members in the fleet. */
    @Param({"10", "100", "1000"})
    public int members;

    private Membership[] all;
    private double nowMs;

    /** Starts with a first instance that knows all others and has nothing left to gossip. */
    @Setup
    public void setUp() {
        all = new Membership[members];
        for (int i = 0; i < members; i++) {
            all[i] = new Membership(MembershipSettings.forConfigured(members), i, 0, new byte[0], 0, i, UNLIMITED);
            if (i > 0) {
                all[i].tick(nowMs);
                int from = i;
                all[i].takeOutgoing().forEach(s -> all[0].messageReceived(nowMs, from, s.body()));
            }
        }
        for (int i = 0; i < 2000; i++) {
            round();
        }
    }

    /** One round of the first instance, with the answers of the members that it probes. */
    @Benchmark
    public int round() {
        nowMs += 250;
        all[0].tick(nowMs);
        List<OutgoingMessage> sent = all[0].takeOutgoing();
        for (OutgoingMessage s : sent) {
            all[s.to()].messageReceived(nowMs, 0, s.body());
            for (OutgoingMessage reply : all[s.to()].takeOutgoing()) {
                if (reply.to() == 0) {
                    all[0].messageReceived(nowMs, s.to(), reply.body());
                }
            }
        }
        all[0].takeOutgoing();
        return sent.size();
    }
}
