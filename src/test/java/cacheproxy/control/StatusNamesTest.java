package cacheproxy.control;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.drain.DrainStateMachine;
import cacheproxy.failover.ZoneHealth;
import cacheproxy.failover.ZoneState;
import cacheproxy.membership.MemberState;
import cacheproxy.membership.Reachability;
import cacheproxy.membership.ServicePhase;
import cacheproxy.takeover.HandoverStateMachine;
import java.util.Arrays;
import org.junit.jupiter.api.Test;

/** The state names that operators' scripts depend on. */
class StatusNamesTest {
    @Test
    void statusNamesAreStable() {
        assertThat(Arrays.stream(HandoverStateMachine.Phase.values()).map(HandoverStateMachine.Phase::statusName))
                .containsExactly("alone", "offered", "taken", "served", "retiring", "ending");
        assertThat(Arrays.stream(DrainStateMachine.Phase.values()).map(DrainStateMachine.Phase::statusName))
                .containsExactly("serving", "draining", "drained", "expired");
        assertThat(Arrays.stream(Reachability.values()).map(StatusNames::of))
                .containsExactly("alone", "minority", "majority", "all");
        assertThat(Arrays.stream(MemberState.values()).map(StatusNames::of))
                .containsExactly("alive", "suspect", "dead", "left");
        assertThat(Arrays.stream(ServicePhase.values()).map(StatusNames::of))
                .containsExactly("starting", "recovering", "serving", "draining");
        assertThat(Arrays.stream(ZoneState.Cause.values()).map(StatusNames::of))
                .containsExactly("evidence", "return", "hold", "leave");
        assertThat(Arrays.stream(ZoneHealth.values()).map(StatusNames::of))
                .containsExactly("none", "good", "poor", "lost");
    }
}
