package cacheproxy.endpoints;

import java.util.SplittableRandom;

/**
 * Selects the kind of the next poll: after a kind has failed, another is used.
 *
 * <pre>
 * previous poll                             next poll
 * watch or snapshot, answered               WATCH
 * watch, failed                             DELTA; SNAPSHOT if one is due
 * delta                                     WATCH; SNAPSHOT if one is due
 * snapshot, failed                          WATCH
 * watch or delta, overdue (in parallel)     SNAPSHOT
 * snapshot, overdue (in parallel)           WATCH
 * </pre>
 *
 * <p>A snapshot is due after two polls that broke or became overdue since a watch or delta was last answered. It costs
 * a shared discovery service as much as many deltas. If instances pass changes on to each other, only about
 * {@value #SNAPSHOT_INSTANCES} of them, selected at random, request a snapshot; the others send a DELTA or a WATCH
 * instead.
 */
final class PollKindSelector {
    private static final double SNAPSHOT_INSTANCES = 2;

    private final SplittableRandom random;
    private PollKind last = PollKind.SNAPSHOT;
    /**
     * The number of polls that broke or became overdue since a watch or delta was last answered; another kind of poll
     * might have succeeded.
     */
    private int unansweredPolls;
    /** Whether a poll has failed since the last answered one. */
    private boolean failedSinceResponse;

    PollKindSelector(SplittableRandom random) {
        this.random = random;
    }

    /** Polling was restarted. */
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

    /** The newest poll has become overdue. */
    void onOverdue() {
        unansweredPolls++;
    }

    /** Returns the kind of the next poll if no other is pending. */
    PollKind next(PollerSettings settings) {
        if (last == PollKind.WATCH && failedSinceResponse) {
            return snapshotIsDue(settings) ? PollKind.SNAPSHOT : PollKind.DELTA;
        }
        return last == PollKind.DELTA && snapshotIsDue(settings) ? PollKind.SNAPSHOT : PollKind.WATCH;
    }

    private boolean snapshotIsDue(PollerSettings settings) {
        return unansweredPolls > 1 && maySendSnapshot(settings);
    }

    /** Returns the kind of the poll to send in parallel with an overdue one. */
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
