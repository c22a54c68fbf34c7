package cacheproxy.takeover;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.takeover.HandoverStateMachine.Phase;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

class HandoverStateMachineTest {
    @Example
    void aSuccessorGoesThroughAllOfItAndTakesTheClients() {
        HandoverStateMachine h = new HandoverStateMachine();
        assertThat(h.snapshotRequested(1)).isTrue();
        assertThat(h.socketRequested(1)).isTrue();
        assertThat(h.acceptsConnections()).isTrue();
        assertThat(h.successorServes(1)).isTrue();
        assertThat(h.acceptsConnections()).isFalse();
        assertThat(h.passesClients()).isFalse();
        h.terminationRequested();
        assertThat(h.passesClients()).isTrue();
        assertThat(h.completedHandovers()).isEqualTo(1);
    }

    @Example
    void oneThatGoesBeforeTheEndGivesTheClientsBack() {
        HandoverStateMachine h = new HandoverStateMachine();
        h.snapshotRequested(1);
        h.socketRequested(1);
        h.successorServes(1);
        h.connectionClosed(1);
        assertThat(h.acceptsConnections()).isTrue();
        assertThat(h.snapshotRequested(2)).isTrue();
    }

    @Example
    void aNewerOneTakesThePlaceOfOneThatDoesNotServe() {
        HandoverStateMachine h = new HandoverStateMachine();
        h.snapshotRequested(1);
        h.socketRequested(1);
        assertThat(h.snapshotRequested(2)).isTrue();
        assertThat(h.successorServes(1)).isFalse();
        h.connectionClosed(1);
        assertThat(h.phase()).isEqualTo(Phase.SNAPSHOT_SENT);
        assertThat(h.socketRequested(2)).isTrue();
        assertThat(h.successorServes(2)).isTrue();
        assertThat(h.snapshotRequested(3)).isFalse();
    }

    @Example
    void toldToEndWithNobodyThereItAcceptsAsLongAsItsPlanHasIt() {
        HandoverStateMachine h = new HandoverStateMachine();
        h.snapshotRequested(1);
        h.terminationRequested();
        assertThat(h.acceptsConnections()).isTrue();
        assertThat(h.passesClients()).isFalse();
        assertThat(h.successorServes(1)).isFalse();
        assertThat(h.snapshotRequested(2)).isFalse();
    }

    /** Every order of events that three links and the system can bring. */
    @Property(seed = "1", tries = 3000)
    void thereIsAlwaysSomebodyWhoAccepts(@ForAll @Size(max = 14) List<@IntRange(min = 0, max = 12) Integer> events) {
        HandoverStateMachine h = new HandoverStateMachine();
        boolean[] alive = new boolean[4];
        boolean[] serving = new boolean[4];
        boolean terminated = false;
        for (int e : events) {
            int link = 1 + e % 3;
            switch (e / 3) {
                case 0 -> alive[link] |= !serving[link] && h.snapshotRequested(link);
                case 1 -> h.socketRequested(link);
                case 2 -> serving[link] |= h.successorServes(link);
                case 3 -> {
                    alive[link] = serving[link] = false;
                    h.connectionClosed(link);
                }
                default -> {
                    terminated = true;
                    h.terminationRequested();
                }
            }
            int servers = 0;
            for (int l = 1; l <= 3; l++) {
                servers += serving[l] ? 1 : 0;
            }
            assertThat(servers).as("successors that serve").isLessThanOrEqualTo(1);
            assertThat(h.acceptsConnections())
                    .as("accepts, with " + servers + " that serve")
                    .isEqualTo(servers == 0);
            assertThat(h.passesClients()).isEqualTo(terminated && servers == 1);
        }
    }
}
