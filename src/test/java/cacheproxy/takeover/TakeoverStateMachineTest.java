package cacheproxy.takeover;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.takeover.TakeoverStateMachine.Phase;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

class TakeoverStateMachineTest {
    @Example
    void servesAtTheOldSocketAfterSnapshotAndSocket() {
        TakeoverStateMachine takeover = new TakeoverStateMachine(0);
        assertThat(takeover.snapshotReceived(10, true)).isTrue();
        assertThat(takeover.descriptorReceived()).isTrue();
        assertThat(takeover.phase()).isEqualTo(Phase.TAKEN_OVER);
        takeover.connectionClosed(); // the old process has exited as expected
        assertThat(takeover.phase()).isEqualTo(Phase.TAKEN_OVER);
    }

    @Example
    void withAnUnreadableSnapshotItServesIndependently() {
        TakeoverStateMachine takeover = new TakeoverStateMachine(0);
        assertThat(takeover.snapshotReceived(10, false)).isFalse();
        assertThat(takeover.descriptorReceived()).isFalse();
        assertThat(takeover.phase()).isEqualTo(Phase.INDEPENDENT);
    }

    @Example
    void eachResponseHasItsOwnTimeout() {
        TakeoverStateMachine takeover = new TakeoverStateMachine(0);
        assertThat(takeover.checkTimeout(TakeoverStateMachine.ANSWER_TIMEOUT_MS - 1))
                .isFalse();
        takeover.snapshotReceived(TakeoverStateMachine.ANSWER_TIMEOUT_MS - 1, true);
        assertThat(takeover.checkTimeout(2 * TakeoverStateMachine.ANSWER_TIMEOUT_MS - 2))
                .isFalse();
        assertThat(takeover.checkTimeout(2 * TakeoverStateMachine.ANSWER_TIMEOUT_MS - 1))
                .isTrue();
        assertThat(takeover.descriptorReceived())
                .as("a socket that arrives after the timeout")
                .isFalse();
    }

    /** For every sequence of events the process ends up serving, within the timeout of each response, at one socket. */
    @Property(seed = "1", tries = 2000)
    void everySequenceOfEventsEndsInService(@ForAll @Size(max = 10) List<@IntRange(min = 0, max = 4) Integer> events) {
        TakeoverStateMachine takeover = new TakeoverStateMachine(0);
        double now = 0;
        int sockets = 0;
        boolean independent = false;
        for (int event : events) {
            now += 100;
            switch (event) {
                case 0 -> takeover.snapshotReceived(now, true);
                case 1 -> takeover.snapshotReceived(now, false);
                case 2 -> sockets += takeover.descriptorReceived() ? 1 : 0;
                case 3 -> takeover.connectionClosed();
                default -> takeover.checkTimeout(now);
            }
            assertThat(sockets).isLessThanOrEqualTo(1);
            assertThat(takeover.phase() == Phase.TAKEN_OVER).isEqualTo(sockets == 1);
            assertThat(independent && takeover.phase() != Phase.INDEPENDENT)
                    .as("left the independent phase")
                    .isFalse();
            independent = takeover.phase() == Phase.INDEPENDENT;
        }
        takeover.checkTimeout(now + TakeoverStateMachine.ANSWER_TIMEOUT_MS);
        assertThat(takeover.phase()).isIn(Phase.TAKEN_OVER, Phase.INDEPENDENT);
    }
}
