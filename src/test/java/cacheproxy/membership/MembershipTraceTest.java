package cacheproxy.membership;

import cacheproxy.GoldenFile;
import cacheproxy.membership.OutgoingMessage.Urgency;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.zip.CRC32C;
import org.junit.jupiter.api.Test;

/**
 * A fleet in virtual time with message loss, a crash, a partition, a stall, a restart and a leave: every message, its
 * time, order and bytes match the recorded trace. Detects a changed order of random draws, which no property test
 * would.
 */
class MembershipTraceTest {
    private static final int INSTANCES = 14;
    private static final double END_MS = 40_000;

    private record Delivery(double atMs, long order, int from, int to, byte[] body) {}

    /** A deterministic simulation of one fleet. */
    private static final class Fleet {
        private final SplittableRandom network = new SplittableRandom(11);
        private final PriorityQueue<Delivery> deliveries =
                new PriorityQueue<>(Comparator.comparingDouble(Delivery::atMs).thenComparingLong(Delivery::order));
        private final List<Membership> members = new ArrayList<>();
        private final boolean[] down = new boolean[INSTANCES];
        private final CRC32C trace = new CRC32C();
        private final boolean bySeeds;
        private long messages;
        private long bytes;

        Fleet(boolean bySeeds) {
            this.bySeeds = bySeeds;
            for (int i = 0; i < INSTANCES; i++) {
                members.add(start(i, 0, i));
            }
        }

        private Membership start(int id, long lastIncarnation, long seed) {
            MembershipSettings settings = bySeeds
                    ? MembershipSettings.forSeeds(List.of(0, 1), 40)
                    : MembershipSettings.forConfigured(INSTANCES);
            byte[] address = bySeeds ? new byte[] {10, 0, 0, (byte) id, 31, (byte) id} : new byte[0];
            return new Membership(settings, id, id % 3, address, lastIncarnation, seed, new Membership.MessageBudget() {
                @Override
                public boolean tryAcquire(double nowMs, int size, Urgency urgency) {
                    return urgency != Urgency.BACKGROUND || (long) nowMs % 7 != 0;
                }

                @Override
                public int availableBytes(double nowMs) {
                    return (int) (nowMs % 400) - 100;
                }
            });
        }

        private boolean isDelivered(double nowMs, int from, int to) {
            boolean cut = nowMs >= 14_000 && nowMs < 22_000 && (from < 5) != (to < 5);
            return !cut && !down[to] && network.nextDouble() >= 0.08;
        }

        private void events(double nowMs) {
            if (nowMs == 1000) {
                members.forEach(m -> m.setPhase(ServicePhase.SERVING));
            } else if (nowMs == 3000) {
                members.get(2).setMetadata(1, new byte[] {1, 2, 3});
            } else if (nowMs == 5000) {
                down[3] = true;
            } else if (nowMs == 26_000) {
                down[3] = false;
                members.set(3, start(3, 1, 77));
            } else if (nowMs == 30_000) {
                members.get(9).leave(nowMs);
            }
        }

        /** Instance 6 stalls for two seconds. */
        private boolean isRunning(double nowMs, int id) {
            return !down[id] && !(id == 6 && nowMs >= 9000 && nowMs < 11_000);
        }

        private void collect(double nowMs, int from) {
            for (OutgoingMessage s : members.get(from).takeOutgoing()) {
                messages++;
                bytes += s.body().length;
                trace.update(
                        (nowMs + " " + from + " " + s.to() + " " + s.urgency().ordinal())
                                .getBytes(StandardCharsets.US_ASCII));
                trace.update(s.body());
                if (isDelivered(nowMs, from, s.to())) {
                    double atMs = nowMs + 1 + network.nextInt(60);
                    deliveries.add(new Delivery(atMs, messages, from, s.to(), s.body()));
                }
            }
        }

        String run() {
            StringBuilder lines = new StringBuilder();
            for (double nowMs = 0; nowMs <= END_MS; nowMs++) {
                events(nowMs);
                while (!deliveries.isEmpty() && deliveries.peek().atMs() <= nowMs) {
                    Delivery d = deliveries.poll();
                    if (isRunning(nowMs, d.to())) {
                        members.get(d.to()).messageReceived(nowMs, d.from(), d.body());
                        collect(nowMs, d.to());
                    }
                }
                for (int i = 0; i < INSTANCES; i++) {
                    if (isRunning(nowMs, i) && members.get(i).dueMs() <= nowMs) {
                        members.get(i).tick(nowMs);
                        collect(nowMs, i);
                    }
                }
                if (nowMs % 1000 == 0) {
                    lines.append(line(nowMs));
                }
            }
            return lines.toString();
        }

        private String line(double nowMs) {
            StringBuilder liveCounts = new StringBuilder();
            long refuted = 0;
            for (Membership m : members) {
                MembershipView view = m.view(nowMs);
                liveCounts
                        .append(' ')
                        .append(view.liveMembers().count())
                        .append('/')
                        .append(m.incarnation());
                refuted += m.deathsRefuted() + m.rejectedMessages();
            }
            return String.format(
                    Locale.ROOT,
                    "%5.0f ms %6d messages %8d bytes trace %08x, refuted %d, living/incarnation%s%n",
                    nowMs,
                    messages,
                    bytes,
                    trace.getValue(),
                    refuted,
                    liveCounts);
        }
    }

    @Test
    void configuredFleetMatchesRecordedTrace() {
        GoldenFile.assertText("membership/trace-configured.txt", new Fleet(false).run());
    }

    @Test
    void seededFleetMatchesRecordedTrace() {
        GoldenFile.assertText("membership/trace-seeds.txt", new Fleet(true).run());
    }
}
