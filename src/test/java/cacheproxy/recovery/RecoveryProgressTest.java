package cacheproxy.recovery;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.recovery.RecoveryProgress.Stage;
import org.junit.jupiter.api.Test;

/** Recovery ends by evidence; the timeout only ends it where there is no evidence. */
class RecoveryProgressTest {
    private final RecoveryProgress progress = new RecoveryProgress(0);

    private static RequestCounts counts(long received, long served, long rejected) {
        return new RequestCounts(received, served, rejected);
    }

    @Test
    void startingLastsWhileThereIsNoList() {
        for (int t = 0; t <= 100_000; t += 250) {
            assertThat(progress.update(t, counts(t, 0, t))).isEqualTo(Stage.STARTING);
        }
    }

    /** An instance that receives few requests and rejects some of them leaves recovery only by the timeout. */
    @Test
    void timeoutEndsRecoveryWithoutEvidence() {
        progress.listAvailable(100, false);
        for (int t = 250; t < RecoveryProgress.MAX_RECOVERY_MS; t += 250) {
            assertThat(progress.update(t, counts(t / 250, t / 500, t / 500))).isEqualTo(Stage.RECOVERING);
        }
        assertThat(progress.update(RecoveryProgress.MAX_RECOVERY_MS, counts(130, 65, 65)))
                .isEqualTo(Stage.SERVING);
        assertThat(progress.endedByTimeout()).isTrue();
    }

    /**
     * A watch without events is no evidence about the list's age, so an unconfirmed list of any age suffices if
     * requests are served by it.
     */
    @Test
    void unconfirmedListSufficesIfItServesOrThereAreNoRequests() {
        progress.listAvailable(0, false);
        assertThat(progress.update(2900, counts(0, 0, 0))).isEqualTo(Stage.RECOVERING);
        assertThat(progress.update(3000, counts(0, 0, 0))).isEqualTo(Stage.SERVING);
        RecoveryProgress underLoad = new RecoveryProgress(0);
        underLoad.listAvailable(0, false);
        underLoad.update(250, counts(0, 0, 0));
        assertThat(underLoad.update(500, counts(40, 39, 0))).isEqualTo(Stage.SERVING);
    }

    @Test
    void servedRequestsEndRecovery() {
        progress.listAvailable(0, true);
        assertThat(progress.update(250, counts(4, 4, 0))).isEqualTo(Stage.RECOVERING);
        assertThat(progress.update(500, counts(8, 8, 0))).isEqualTo(Stage.RECOVERING);
        assertThat(progress.update(750, counts(20, 18, 0))).isEqualTo(Stage.SERVING);
        assertThat(progress.servingAfterMs()).isEqualTo(750);
        assertThat(progress.endedByTimeout()).isFalse();
    }

    @Test
    void rejectionsProlongRecovery() {
        progress.listAvailable(0, true);
        for (int t = 250; t < 20_000; t += 250) {
            assertThat(progress.update(t, counts(t, t - t / 10, t / 10))).isEqualTo(Stage.RECOVERING);
        }
        // Only the last two seconds are evaluated.
        for (int t = 20_000; t <= 22_250; t += 250) {
            progress.update(t, counts(t, t - 2000, 2000));
        }
        assertThat(progress.stage()).isEqualTo(Stage.SERVING);
    }

    @Test
    void idleInstanceServesAfterASecond() {
        progress.listAvailable(2000, true);
        assertThat(progress.update(2900, counts(0, 0, 0))).isEqualTo(Stage.RECOVERING);
        assertThat(progress.update(3000, counts(0, 0, 0))).isEqualTo(Stage.SERVING);
    }

    @Test
    void lostListLeadsBackToStarting() {
        progress.listAvailable(0, false);
        progress.update(250, counts(0, 0, 0));
        progress.listLost();
        assertThat(progress.update(500, counts(0, 0, 0))).isEqualTo(Stage.STARTING);
    }

    /** State may be used until it expires, and a decision that relies on it later is counted. */
    @Test
    void decisionsByExpiredStateAreCounted() {
        ProvenanceTracker tracker = new ProvenanceTracker();
        tracker.adopted(1000, ProvenanceTracker.Subject.ENDPOINT_LIST, Provenance.STORED, 400, 1000, false);
        tracker.usedForDecision(1600, ProvenanceTracker.Subject.ENDPOINT_LIST);
        assertThat(tracker.staleDecisions()).isZero();
        assertThat(tracker.expired(1601, ProvenanceTracker.Subject.ENDPOINT_LIST))
                .isTrue();
        tracker.usedForDecision(1601, ProvenanceTracker.Subject.ENDPOINT_LIST);
        assertThat(tracker.staleDecisions()).isEqualTo(1);
        tracker.confirmed(ProvenanceTracker.Subject.ENDPOINT_LIST);
        tracker.usedForDecision(1e12, ProvenanceTracker.Subject.ENDPOINT_LIST);
        tracker.adopted(
                0,
                ProvenanceTracker.Subject.ENDPOINT_LIST,
                Provenance.CONFIGURED,
                Double.NaN,
                Double.POSITIVE_INFINITY,
                false);
        tracker.usedForDecision(1e12, ProvenanceTracker.Subject.ENDPOINT_LIST);
        assertThat(tracker.staleDecisions()).isEqualTo(1);
    }
}
