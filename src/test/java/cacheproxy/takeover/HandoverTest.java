package cacheproxy.takeover;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.takeover.Handover.Phase;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

class HandoverTest {
    @Example
    void aSuccessorGoesThroughAllOfItAndTakesTheClients() {
        Handover h = new Handover();
        assertThat(h.asked(1)).isTrue();
        assertThat(h.wanted(1)).isTrue();
        assertThat(h.accepts()).isTrue();
        assertThat(h.serves(1)).isTrue();
        assertThat(h.accepts()).isFalse();
        assertThat(h.passes()).isFalse();
        h.terminated();
        assertThat(h.passes()).isTrue();
        assertThat(h.taken()).isEqualTo(1);
    }

    @Example
    void oneThatGoesBeforeTheEndGivesTheClientsBack() {
        Handover h = new Handover();
        h.asked(1);
        h.wanted(1);
        h.serves(1);
        h.lost(1);
        assertThat(h.accepts()).isTrue();
        assertThat(h.asked(2)).isTrue();
    }

    @Example
    void aNewerOneTakesThePlaceOfOneThatDoesNotServe() {
        Handover h = new Handover();
        h.asked(1);
        h.wanted(1);
        assertThat(h.asked(2)).isTrue();
        assertThat(h.serves(1)).isFalse();
        h.lost(1);
        assertThat(h.phase()).isEqualTo(Phase.OFFERED);
        assertThat(h.wanted(2)).isTrue();
        assertThat(h.serves(2)).isTrue();
        assertThat(h.asked(3)).isFalse();
    }

    @Example
    void toldToEndWithNobodyThereItAcceptsAsLongAsItsPlanHasIt() {
        Handover h = new Handover();
        h.asked(1);
        h.terminated();
        assertThat(h.accepts()).isTrue();
        assertThat(h.passes()).isFalse();
        assertThat(h.serves(1)).isFalse();
        assertThat(h.asked(2)).isFalse();
    }

    /** Every order of events that three links and the system can bring. */
    @Property(seed = "1", tries = 3000)
    void thereIsAlwaysSomebodyWhoAccepts(@ForAll @Size(max = 14) List<@IntRange(min = 0, max = 12) Integer> events) {
        Handover h = new Handover();
        boolean[] alive = new boolean[4];
        boolean[] serving = new boolean[4];
        boolean terminated = false;
        for (int e : events) {
            int link = 1 + e % 3;
            switch (e / 3) {
                case 0 -> alive[link] |= !serving[link] && h.asked(link);
                case 1 -> h.wanted(link);
                case 2 -> serving[link] |= h.serves(link);
                case 3 -> {
                    alive[link] = serving[link] = false;
                    h.lost(link);
                }
                default -> {
                    terminated = true;
                    h.terminated();
                }
            }
            int servers = 0;
            for (int l = 1; l <= 3; l++) {
                servers += serving[l] ? 1 : 0;
            }
            assertThat(servers).as("successors that serve").isLessThanOrEqualTo(1);
            assertThat(h.accepts())
                    .as("accepts, with " + servers + " that serve")
                    .isEqualTo(servers == 0);
            assertThat(h.passes()).isEqualTo(terminated && servers == 1);
        }
    }
}
