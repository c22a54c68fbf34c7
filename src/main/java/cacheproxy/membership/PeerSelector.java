package cacheproxy.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.IntPredicate;

/** Selects live members: the next on the ring, all in a shuffled order as in SWIM, or a random sample. */
final class PeerSelector {
    private static final int NONE = -1;

    private final FleetState fleet;
    private final SplittableRandom random;
    /** The rest of the shuffled order; members are taken from the end. */
    private final List<Integer> shuffled = new ArrayList<>();

    PeerSelector(FleetState fleet, SplittableRandom random) {
        this.fleet = fleet;
        this.random = random;
    }

    /**
     * Returns the first live member after this instance on the ring that meets a condition; negative if there is none.
     */
    int nextOnRing(IntPredicate condition) {
        List<Integer> ring = fleet.liveOthers();
        long ownPosition = Member.mix(fleet.self());
        int start = 0;
        while (start < ring.size() && Member.mix(ring.get(start)) < ownPosition) {
            start++;
        }
        for (int i = 0; i < ring.size(); i++) {
            int id = ring.get((start + i) % ring.size());
            if (condition.test(id)) {
                return id;
            }
        }
        return NONE;
    }

    /** Returns the next live member in a shuffled order of all; there has to be at least one. */
    int nextShuffled() {
        while (true) {
            if (shuffled.isEmpty()) {
                shuffled.addAll(fleet.liveOthers());
                shuffle();
            }
            int id = shuffled.remove(shuffled.size() - 1);
            Member member = fleet.get(id);
            if (member != null && member.state().isLive()) {
                return id;
            }
        }
    }

    private void shuffle() {
        for (int i = shuffled.size() - 1; i > 0; i--) {
            int k = random.nextInt(i + 1);
            Integer swap = shuffled.get(i);
            shuffled.set(i, shuffled.get(k));
            shuffled.set(k, swap);
        }
    }

    /** Returns up to {@code count} random live members that meet a condition. */
    List<Integer> sample(int count, IntPredicate condition) {
        List<Integer> candidates = new ArrayList<>(fleet.liveOthers());
        List<Integer> chosen = new ArrayList<>();
        while (chosen.size() < count && !candidates.isEmpty()) {
            int id = candidates.remove(random.nextInt(candidates.size()));
            if (condition.test(id)) {
                chosen.add(id);
            }
        }
        return chosen;
    }
}
