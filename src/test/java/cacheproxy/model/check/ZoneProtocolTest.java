package cacheproxy.model.check;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.failover.FailoverPlan;
import cacheproxy.failover.ZoneState;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BinaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class ZoneProtocolTest {
    private static final ZoneProtocol.Bounds BOUNDS = new ZoneProtocol.Bounds(1, 2, 1);

    /** Merge functions with one faulty rule each, which the exploration must find. */
    private enum Mutant implements BinaryOperator<FailoverPlan> {
        /** The state received last wins, whatever its epoch. */
        LAST {
            @Override
            ZoneState of(ZoneState held, ZoneState said) {
                return said;
            }
        },
        /** Within an epoch, each observer keeps its own state. */
        OWN {
            @Override
            ZoneState of(ZoneState held, ZoneState said) {
                return said.epoch() > held.epoch() ? said : held;
            }
        },
        /** The state with more traffic wins, whatever its epoch. */
        WIDER {
            @Override
            ZoneState of(ZoneState held, ZoneState said) {
                return said.trafficParts() > held.trafficParts() ? said : held;
            }
        },
        /** Within an epoch the state with less traffic wins whatever its cause; otherwise the received one does. */
        NARROWER_OR_LAST {
            @Override
            ZoneState of(ZoneState held, ZoneState said) {
                return held.epoch() == said.epoch() && held.trafficParts() < said.trafficParts() ? held : said;
            }
        };

        abstract ZoneState of(ZoneState held, ZoneState said);

        @Override
        public FailoverPlan apply(FailoverPlan held, FailoverPlan said) {
            List<ZoneState> all = new ArrayList<>();
            for (int z = 0; z < ZoneProtocol.ZONES; z++) {
                all.add(of(held.stateOf(z), said.stateOf(z)));
            }
            return new FailoverPlan(all);
        }
    }

    @Test
    void nothingIsBrokenWithinSmallBounds() {
        Explorer.Result result = new Explorer<>(ZoneProtocol.real(BOUNDS)).run(200_000);
        assertThat(result.broken()).as("%s", result.text()).isNull();
        assertThat(result.complete()).isTrue();
        assertThat(result.states()).isGreaterThan(500);
    }

    @ParameterizedTest
    @EnumSource
    void aWrongLineIsFound(Mutant mutant) {
        Explorer.Result result = new Explorer<>(new ZoneProtocol(BOUNDS, mutant)).run(200_000);
        assertThat(result.broken()).isNotNull();
        assertThat(result.trace()).isNotEmpty();
    }
}
