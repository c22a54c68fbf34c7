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
    void itServesAtTheOldSocketOnceItHasStateAndSocket() {
        TakeoverStateMachine t = new TakeoverStateMachine(0);
        assertThat(t.snapshotReceived(10, true)).isTrue();
        assertThat(t.descriptorReceived()).isTrue();
        assertThat(t.phase()).isEqualTo(Phase.TAKEN_OVER);
        t.connectionClosed(); // the old process has ended, as it should
        assertThat(t.phase()).isEqualTo(Phase.TAKEN_OVER);
    }

    @Example
    void aStateThatCannotBeReadIsNone() {
        TakeoverStateMachine t = new TakeoverStateMachine(0);
        assertThat(t.snapshotReceived(10, false)).isFalse();
        assertThat(t.descriptorReceived()).isFalse();
        assertThat(t.phase()).isEqualTo(Phase.INDEPENDENT);
    }

    @Example
    void eachAnswerHasItsOwnTime() {
        TakeoverStateMachine t = new TakeoverStateMachine(0);
        assertThat(t.checkTimeout(TakeoverStateMachine.ANSWER_TIMEOUT_MS - 1)).isFalse();
        t.snapshotReceived(TakeoverStateMachine.ANSWER_TIMEOUT_MS - 1, true);
        assertThat(t.checkTimeout(2 * TakeoverStateMachine.ANSWER_TIMEOUT_MS - 2))
                .isFalse();
        assertThat(t.checkTimeout(2 * TakeoverStateMachine.ANSWER_TIMEOUT_MS - 1))
                .isTrue();
        assertThat(t.descriptorReceived()).as("a socket that comes too late").isFalse();
    }

    /** Whatever happens in whatever order: it serves within twice its patience, by one socket. */
    @Property(seed = "1", tries = 2000)
    void itComesToServe(@ForAll @Size(max = 10) List<@IntRange(min = 0, max = 4) Integer> events) {
        TakeoverStateMachine t = new TakeoverStateMachine(0);
        double now = 0;
        int sockets = 0;
        boolean alone = false;
        for (int e : events) {
            now += 100;
            switch (e) {
                case 0 -> t.snapshotReceived(now, true);
                case 1 -> t.snapshotReceived(now, false);
                case 2 -> sockets += t.descriptorReceived() ? 1 : 0;
                case 3 -> t.connectionClosed();
                default -> t.checkTimeout(now);
            }
            assertThat(sockets).isLessThanOrEqualTo(1);
            assertThat(t.phase() == Phase.TAKEN_OVER).isEqualTo(sockets == 1);
            assertThat(alone && t.phase() != Phase.INDEPENDENT).as("goes back").isFalse();
            alone = t.phase() == Phase.INDEPENDENT;
        }
        t.checkTimeout(now + TakeoverStateMachine.ANSWER_TIMEOUT_MS);
        assertThat(t.phase()).isIn(Phase.TAKEN_OVER, Phase.INDEPENDENT);
    }
}
