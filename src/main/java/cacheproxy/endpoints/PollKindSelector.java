package cacheproxy.endpoints;

import java.util.SplittableRandom;

/**
 * Selects the kind of the next poll: a kind that has failed is followed by another.
 *
 * <pre>
 * previous poll                                   next
 * a watch or a snapshot, answered                 WATCH
 * a watch, failed                                 DELTA; SNAPSHOT once two polls in a row were of no use
 * a delta                                         WATCH; SNAPSHOT once two polls in a row were of no use
 * a snapshot, failed                              WATCH
 * a watch or a delta that is overdue, beside it   SNAPSHOT
 * a snapshot that is overdue, beside it           WATCH
 * </pre>
 *
 * <p>A snapshot costs a shared discovery as much as many deltas. Where instances pass changes on to each other, only
 * some {@value #SNAPSHOT_INSTANCES} of them ask for one, at random; the others send a DELTA or a WATCH in its place.
 */
final class PollKindSelector {
    private static final double SNAPSHOT_INSTANCES = 2;

    private final SplittableRandom random;
    private PollKind last = PollKind.SNAPSHOT;
    /** Polls that broke or were overdue since a watch or a delta was answered; another kind may have succeeded. */
    private int unansweredPolls;
    /** Whether a poll has failed since one was answered. */
    private boolean failedSinceResponse;

    PollKindSelector(SplittableRandom random) {
        this.random = random;
    }

    /** Polling begins anew. */
    void onStart() {
        unansweredPolls = 0;
    }

    /** A poll of this kind was sent. */
    void onPollSent(PollKind kind) {
        last = kind;
    }

    /** A poll of this kind was answered. */
    void onResponse(PollKind kind) {
        failedSinceResponse = false;
        if (kind != PollKind.SNAPSHOT) {
            unansweredPolls = 0;
        }
    }

    /** A poll has failed. */
    void onFailure(PollFailure failure) {
        failedSinceResponse = true;
        if (failure == PollFailure.BROKEN) {
            unansweredPolls++;
        }
    }

    /** The newest poll is overdue. */
    void onOverdue() {
        unansweredPolls++;
    }

    /** The kind of a poll while no other is pending. */
    PollKind next(PollerSettings settings) {
        if (last == PollKind.WATCH && failedSinceResponse) {
            return snapshotIsDue(settings) ? PollKind.SNAPSHOT : PollKind.DELTA;
        }
        return last == PollKind.DELTA && snapshotIsDue(settings) ? PollKind.SNAPSHOT : PollKind.WATCH;
    }

    private boolean snapshotIsDue(PollerSettings settings) {
        return unansweredPolls > 1 && maySendSnapshot(settings);
    }

    /** The kind of a poll beside one that is overdue. */
    PollKind besideOverdue(PollerSettings settings) {
        if (last == PollKind.SNAPSHOT) {
            return PollKind.WATCH;
        }
        return maySendSnapshot(settings) ? PollKind.SNAPSHOT : PollKind.DELTA;
    }

    private boolean maySendSnapshot(PollerSettings settings) {
        return !settings.sharedDiscovery()
                || !settings.gossipEnabled()
                || random.nextDouble() * settings.instanceCount() < SNAPSHOT_INSTANCES;
    }
}
