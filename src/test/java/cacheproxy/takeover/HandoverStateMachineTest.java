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
    void aSuccessorCompletesTheHandoverAndIsPassedTheClients() {
        HandoverStateMachine handover = new HandoverStateMachine();
        assertThat(handover.snapshotRequested(1)).isTrue();
        assertThat(handover.socketRequested(1)).isTrue();
        assertThat(handover.acceptsConnections()).isTrue();
        assertThat(handover.successorServes(1)).isTrue();
        assertThat(handover.acceptsConnections()).isFalse();
        assertThat(handover.passesClients()).isFalse();
        handover.terminationRequested();
        assertThat(handover.passesClients()).isTrue();
        assertThat(handover.completedHandovers()).isEqualTo(1);
    }

    @Example
    void ifTheSuccessorDisconnectsThisProcessAcceptsAgain() {
        HandoverStateMachine handover = new HandoverStateMachine();
        handover.snapshotRequested(1);
        handover.socketRequested(1);
        handover.successorServes(1);
        handover.connectionClosed(1);
        assertThat(handover.acceptsConnections()).isTrue();
        assertThat(handover.snapshotRequested(2)).isTrue();
    }

    @Example
    void aNewerSuccessorReplacesOneThatIsNotServing() {
        HandoverStateMachine handover = new HandoverStateMachine();
        handover.snapshotRequested(1);
        handover.socketRequested(1);
        assertThat(handover.snapshotRequested(2)).isTrue();
        assertThat(handover.successorServes(1)).isFalse();
        handover.connectionClosed(1);
        assertThat(handover.phase()).isEqualTo(Phase.SNAPSHOT_SENT);
        assertThat(handover.socketRequested(2)).isTrue();
        assertThat(handover.successorServes(2)).isTrue();
        assertThat(handover.snapshotRequested(3)).isFalse();
    }

    @Example
    void terminatingWithoutASuccessorItStillAccepts() {
        HandoverStateMachine handover = new HandoverStateMachine();
        handover.snapshotRequested(1);
        handover.terminationRequested();
        assertThat(handover.acceptsConnections()).isTrue();
        assertThat(handover.passesClients()).isFalse();
        assertThat(handover.successorServes(1)).isFalse();
        assertThat(handover.snapshotRequested(2)).isFalse();
    }

    /** Random sequences of the events of three connections and of SIGTERM. */
    @Property(seed = "1", tries = 3000)
    void someProcessAlwaysAccepts(@ForAll @Size(max = 14) List<@IntRange(min = 0, max = 12) Integer> events) {
        HandoverStateMachine handover = new HandoverStateMachine();
        boolean[] connected = new boolean[4];
        boolean[] serving = new boolean[4];
        boolean terminated = false;
        for (int event : events) {
            int connection = 1 + event % 3;
            switch (event / 3) {
                case 0 -> connected[connection] |= !serving[connection] && handover.snapshotRequested(connection);
                case 1 -> handover.socketRequested(connection);
                case 2 -> serving[connection] |= handover.successorServes(connection);
                case 3 -> {
                    connected[connection] = serving[connection] = false;
                    handover.connectionClosed(connection);
                }
                default -> {
                    terminated = true;
                    handover.terminationRequested();
                }
            }
            int servingSuccessors = 0;
            for (int other = 1; other <= 3; other++) {
                servingSuccessors += serving[other] ? 1 : 0;
            }
            assertThat(servingSuccessors).as("serving successors").isLessThanOrEqualTo(1);
            assertThat(handover.acceptsConnections())
                    .as("accepts connections, with " + servingSuccessors + " serving successors")
                    .isEqualTo(servingSuccessors == 0);
            assertThat(handover.passesClients()).isEqualTo(terminated && servingSuccessors == 1);
        }
    }
}
