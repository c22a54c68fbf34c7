package cacheproxy.quota;

import cacheproxy.GoldenFile;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Compares the decisions of quotas on random requests, and the grants of leases in random rounds, with a recording. */
class QuotaTranscriptTest {
    private static final double START_MS = 1e12;

    private static Limit limit(Measure measure, long windowMs, long guarantee, long cap) {
        return new Limit(measure, windowMs, guarantee, cap);
    }

    private static QuotaSpec tree() {
        QuotaSpec player = new QuotaSpec("player", 2, List.of(limit(Measure.REQUESTS, 1000, 20, 40)), List.of());
        QuotaSpec eachApp = new QuotaSpec(QuotaSpec.EACH, 1, List.of(limit(Measure.REQUESTS, 1000, 0, 9)), List.of());
        QuotaSpec alpha = new QuotaSpec(
                "alpha",
                1,
                List.of(
                        limit(Measure.REQUESTS, 1000, 40, 60),
                        limit(Measure.WRITES, 1000, 0, 5),
                        limit(Measure.BYTES, 10_000, 4000, 60_000)),
                List.of(player, eachApp));
        QuotaSpec beta = new QuotaSpec("beta", 3, List.of(limit(Measure.REQUESTS, 1000, 30, 80)), List.of(player));
        return new QuotaSpec(
                "all",
                1,
                List.of(limit(Measure.REQUESTS, 1000, 0, 100), limit(Measure.BYTES, 10_000, 0, 200_000)),
                List.of(alpha, beta));
    }

    private static void decideAll(StringBuilder transcript) {
        SplittableRandom random = new SplittableRandom(3);
        QuotaTree tree = new QuotaTree(tree(), 6, 7);
        String[] organisations = {"alpha", "beta", "gamma"};
        List<QuotaCharge> open = new ArrayList<>();
        double now = START_MS;
        for (int i = 0; i < 1500; i++) {
            now += random.nextInt(60) == 0 ? random.nextInt(9000) : random.nextDouble() * 12;
            String organisation = organisations[random.nextInt(3)];
            String app = random.nextBoolean() ? "player" : "app-" + random.nextInt(12);
            QuotaCharge charge = new QuotaCharge();
            double wait = tree.admit(
                    now,
                    random.nextInt(9) == 0 ? new String[] {organisation} : new String[] {organisation, app},
                    random.nextInt(200),
                    random.nextInt(4) == 0,
                    charge);
            transcript
                    .append(organisation)
                    .append(' ')
                    .append(app)
                    .append(' ')
                    .append(wait)
                    .append('\n');
            if (charge.isOpen()) {
                open.add(charge);
            }
            if (open.size() > random.nextInt(9)) {
                end(tree, now, open.remove(random.nextInt(open.size())), random);
            }
            if (i % 100 == 0) {
                appendUse(tree, now, transcript);
            }
        }
    }

    private static void end(QuotaTree tree, double now, QuotaCharge charge, SplittableRandom random) {
        if (random.nextInt(5) == 0) {
            tree.refund(now, charge);
        } else {
            tree.settle(now, charge, random.nextInt(40) == 0 ? 90_000 : random.nextInt(300));
        }
    }

    private static void appendUse(QuotaTree tree, double now, StringBuilder transcript) {
        String[] alpha = {"alpha"};
        transcript
                .append("use ")
                .append(tree.used(now, alpha, Measure.REQUESTS, 1000))
                .append(' ')
                .append(tree.used(now, alpha, Measure.WRITES, 1000))
                .append(' ')
                .append(tree.used(now, alpha, Measure.BYTES, 10_000))
                .append(" debt ")
                .append(tree.debt(alpha, Measure.BYTES, 10_000))
                .append(" unnamed ")
                .append(tree.unnamed())
                .append('\n');
    }

    private static void leaseAll(StringBuilder transcript) {
        SplittableRandom random = new SplittableRandom(5);
        double now = START_MS;
        LeaseHolder[] holders = {new LeaseHolder(1000, 1), new LeaseHolder(1000, 1)};
        LeaseParticipant[] parties = new LeaseParticipant[4];
        for (int i = 0; i < parties.length; i++) {
            parties[i] = new LeaseParticipant(150, 1000, now);
        }
        for (int round = 0; round < 150; round++) {
            now += random.nextDouble() * 900;
            if (random.nextInt(25) == 0) {
                holders[0] = new LeaseHolder(1000, 2 + round);
                parties[random.nextInt(4)] = new LeaseParticipant(150, 1000, now);
            }
            int from = random.nextInt(4) == 0 ? 1 : 0;
            long number = holders[from].startRound(now);
            for (int i = 0; i < parties.length; i++) {
                LeaseParticipant.Report report = random.nextInt(6) == 0
                        ? null
                        : parties[i].onRoundStarted(now + i, from, number, random.nextInt(400), random.nextInt(150));
                if (report != null) {
                    transcript
                            .append("ceded ")
                            .append(report.ceded())
                            .append(" want ")
                            .append(report.demand());
                    transcript.append('\n');
                    holders[from].onReport(i, report);
                }
            }
            Map<Integer, LeaseParticipant.Grant> grants = new TreeMap<>(holders[from].grants(now + 100));
            for (Map.Entry<Integer, LeaseParticipant.Grant> grant : grants.entrySet()) {
                LeaseParticipant.Grant granted = grant.getValue();
                transcript.append("grant ").append(grant.getKey()).append(' ').append(granted.amount());
                transcript.append(' ').append(granted.usableMs()).append('\n');
                parties[grant.getKey()].onGrant(now + 101, from, granted);
            }
            for (LeaseParticipant party : parties) {
                transcript.append(party.limit(now + 200)).append(' ');
            }
            transcript.append('\n');
        }
    }

    @Test
    void decisionsAndGrantsAreAsRecorded() {
        StringBuilder transcript = new StringBuilder();
        decideAll(transcript);
        leaseAll(transcript);
        GoldenFile.assertText("quota/decisions.txt", transcript.toString());
    }
}
