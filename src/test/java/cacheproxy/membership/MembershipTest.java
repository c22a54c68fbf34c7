package cacheproxy.membership;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.membership.OutgoingMessage.Urgency;
import cacheproxy.model.ViewPlay;
import cacheproxy.model.ViewStudy;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Instances with a view of each other, in virtual time. */
class MembershipTest {
    private static ViewPlay settled(int many, double loss, long seed) {
        ViewPlay p = new ViewPlay(many, loss, 0.05, seed);
        assertThat(p.until(p::settled, 20_000)).isLessThan(20_000);
        p.pass(3000);
        p.countFalseDeaths();
        return p;
    }

    @Test
    void crashesRejoinsAndPartitionsConvergeInTime() {
        ViewStudy s = ViewStudy.of(12, 0, 1, 20, 5000);
        double[] most = {4000, 3000, 1500, 5000, 3000};
        for (int e = 0; e < most.length; e++) {
            assertThat(s.sorted(e)[19]).as(ViewStudy.EVENTS.get(e)).isLessThan(most[e]);
        }
        assertThat(s.falseDeaths()).isZero();
        assertThat(s.mostBytes()).isLessThan(2000);
    }

    @Test
    void crashIsKnownToAHundredInstancesWithinThreeSeconds() {
        ViewPlay p = settled(100, 0, 5);
        p.kill(17);
        assertThat(p.until(() -> p.allHold(17, false), 10_000)).isLessThan(3000);
        assertThat(p.falseDeaths()).isZero();
    }

    @Test
    void lossOfAFifthCausesNoFalseDeath() {
        ViewPlay p = settled(12, 0.2, 3);
        p.pass(600_000);
        assertThat(p.falseDeaths()).isZero();
    }

    @Test
    void stalledInstanceDeclaresNoOtherDead() {
        ViewPlay p = settled(12, 0, 7);
        p.stop(4, 8000);
        p.pass(7900);
        assertThat(p.allHold(4, false))
                .as("others declared it dead")
                .isFalse(); // the stalled instance considers itself alive
        assertThat(p.of(0).member(4).state()).isEqualTo(MemberState.DEAD);
        p.pass(200);
        for (int i = 0; i < 40; i++) {
            p.pass(50);
            for (int other = 0; other < 12; other++) {
                assertThat(p.of(4).member(other).state()).isNotEqualTo(MemberState.DEAD);
            }
        }
        assertThat(p.until(p::settled, 5000)).isLessThan(3000);
        assertThat(p.falseDeaths()).isZero();
    }

    @Test
    void oneWayPartitionConvergesOnceHealed() {
        ViewPlay p = settled(12, 0, 9);
        p.cutOneWay(i -> i % 4 == 2);
        p.pass(8000);
        p.heal();
        assertThat(p.until(p::settled, 10_000)).isLessThan(5000);
    }

    @Test
    void fleetConvergesAfterRestartOfSevenInTen() {
        ViewPlay p = settled(20, 0, 11);
        for (int i = 0; i < 14; i++) {
            p.kill(i);
        }
        p.pass(1000);
        for (int i = 0; i < 14; i++) {
            p.start(i, i % 2 == 0 ? 0 : 1);
        }
        assertThat(p.until(p::settled, 10_000)).isLessThan(5000);
    }

    @Test
    void fleetConvergesAfterRestartWithoutState() {
        ViewPlay p = settled(12, 0, 13);
        for (int i = 0; i < 12; i++) {
            p.kill(i);
        }
        p.pass(1000);
        for (int i = 0; i < 12; i++) {
            p.start(i, 0);
        }
        assertThat(p.until(p::settled, 10_000)).isLessThan(3000);
    }

    @Test
    void flappingMemberCausesNoFalseDeath() {
        ViewPlay p = settled(12, 0, 15);
        for (int i = 0; i < 20; i++) {
            p.kill(3);
            p.pass(500);
            p.start(3, 0);
            p.pass(500);
        }
        assertThat(p.until(p::settled, 10_000)).isLessThan(5000);
        assertThat(p.falseDeaths()).isZero();
    }

    @Test
    void leavingMemberIsNotSuspected() {
        ViewPlay p = settled(12, 0, 17);
        p.leave(5);
        assertThat(p.until(() -> p.allHold(5, false), 3000)).isLessThan(1000);
        assertThat(p.of(0).member(5).state()).isEqualTo(MemberState.LEFT);
    }

    // ---- one instance alone

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

    private static Membership instance(int id, long lastIncarnation, long seed) {
        return new Membership(
                MembershipSettings.forConfigured(3), id, 0, new byte[0], lastIncarnation, seed, UNLIMITED);
    }

    /** Delivers the messages of one instance to another. */
    private static void deliver(Membership from, int fromId, Membership to, double now) {
        from.tick(now);
        from.takeOutgoing().forEach(s -> to.messageReceived(now, fromId, s.body()));
    }

    @Test
    void twoProcessesUnderOneNumberAreReported() {
        Membership one = instance(0, 0, 1);
        Membership duplicate = instance(0, 0, 2);
        Membership other = instance(1, 0, 3);
        for (double now = 0; now < 20_000; now += 50) {
            deliver(one, 0, other, now);
            deliver(duplicate, 0, other, now);
            List<OutgoingMessage> replies = new ArrayList<>();
            other.tick(now);
            replies.addAll(other.takeOutgoing());
            for (OutgoingMessage s : replies) {
                one.messageReceived(now, 1, s.body());
                duplicate.messageReceived(now, 1, s.body());
            }
        }
        assertThat(one.view(20_000).disputed()).isTrue();
        assertThat(one.incarnation()).as("the incarnations do not race").isLessThan(60);
    }

    @Test
    void malformedOrForgedMessagesChangeNothing() {
        Membership one = instance(0, 0, 1);
        Membership other = instance(1, 0, 3);
        deliver(other, 1, one, 0);
        int digest = one.digest();
        SplittableRandom random = new SplittableRandom(4);
        for (int i = 0; i < 20_000; i++) {
            byte[] bytes = new byte[random.nextInt(250)];
            random.nextBytes(bytes);
            one.messageReceived(i, 1, bytes);
        }
        other.tick(30_000);
        other.takeOutgoing().forEach(s -> one.messageReceived(30_000, 2, s.body()));
        assertThat(one.digest()).isEqualTo(digest);
        assertThat(one.rejectedMessages()).isGreaterThan(20_000);
    }

    @Test
    void outdatedMessagesChangeNothing() {
        Membership one = instance(0, 0, 1);
        Membership other = instance(1, 0, 3);
        other.tick(0);
        List<OutgoingMessage> outdated = other.takeOutgoing();
        outdated.forEach(s -> one.messageReceived(0, 1, s.body()));
        other.setMetadata(2, new byte[] {9});
        other.tick(100);
        other.takeOutgoing().forEach(s -> one.messageReceived(100, 1, s.body()));
        for (int i = 0; i < 3; i++) {
            outdated.forEach(s -> one.messageReceived(200, 1, s.body()));
        }
        deliver(other, 1, one, 60_000);
        assertThat(one.member(1).metadata(2)).containsExactly(9);
    }

    @Test
    void viewShowsReachabilityAndConfiguredMembers() {
        Membership one = instance(0, 0, 1);
        MembershipView v = one.view(0);
        assertThat(v.reachability()).isEqualTo(Reachability.ALONE);
        assertThat(v.liveMembers().count()).isEqualTo(1);
        assertThat(v.configuredMembers().count()).isEqualTo(3);
        deliver(instance(1, 0, 3), 1, one, 1);
        assertThat(one.view(1).reachability()).isEqualTo(Reachability.MAJORITY);
        assertThat(one.view(1).reachabilityByZone()).containsEntry(0, Reachability.ALL);
    }

    /** Instances that are not configured: each knows one seed, and they learn of each other with their addresses. */
    @Test
    void seededFleetConvergesAndRemovesAbsentMembers() {
        int instances = 6;
        MembershipSettings settings = MembershipSettings.forSeeds(List.of(0), 100);
        List<Membership> all = new ArrayList<>();
        for (int i = 0; i < instances; i++) {
            all.add(new Membership(settings, i, 0, new byte[] {127, 0, 0, 1, 0, (byte) i}, 0, i, UNLIMITED));
        }
        boolean[] gone = new boolean[instances];
        int digest = 0;
        for (double now = 0; now < 700_000; now += 50) {
            gone[5] = now > 5000;
            for (int i = 0; i < instances; i++) {
                if (!gone[i]) {
                    all.get(i).tick(now);
                    for (OutgoingMessage s : all.get(i).takeOutgoing()) {
                        if (!gone[s.to()]) {
                            all.get(s.to()).messageReceived(now, -1, s.body());
                        }
                    }
                }
            }
            digest = now == 4000 ? all.get(0).digest() : digest;
        }
        assertThat(all.get(5).digest()).as("before instance 5 stopped").isEqualTo(digest);
        assertThat(all.get(5).member(3).address()).containsExactly(127, 0, 0, 1, 0, 3);
        assertThat(all.subList(0, 5)).allSatisfy(m -> {
            assertThat(m.member(5)).isNull();
            assertThat(m.liveMembers().count()).isEqualTo(5);
        });
    }

    /** Guards against suspicions after probes that the budget did not permit to be sent. */
    @Test
    void noMemberIsSuspectedWithoutBudget() {
        boolean[] hasBudget = {true};
        Membership one = new Membership(
                MembershipSettings.forConfigured(3), 0, 0, new byte[0], 0, 1, new Membership.MessageBudget() {
                    @Override
                    public boolean tryAcquire(double nowMs, int bytes, Urgency urgency) {
                        return hasBudget[0];
                    }

                    @Override
                    public int availableBytes(double nowMs) {
                        return 0;
                    }
                });
        deliver(instance(1, 0, 3), 1, one, 0);
        one.takeOutgoing();
        hasBudget[0] = false;
        for (double now = 0; now < 10_000; now += 20) {
            one.tick(now);
        }
        assertThat(one.member(1).state()).isEqualTo(MemberState.ALIVE);
        assertThat(one.takeOutgoing()).isEmpty();
    }
}
