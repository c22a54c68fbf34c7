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

    /** Ways to merge two plans with one line wrong. */
    private enum Mutant implements BinaryOperator<FailoverPlan> {
        /** What was said last holds. */
        LAST {
            @Override
            ZoneState of(ZoneState held, ZoneState said) {
                return said;
            }
        },
        /** In one epoch each keeps to its own. */
        OWN {
            @Override
            ZoneState of(ZoneState held, ZoneState said) {
                return said.epoch() > held.epoch() ? said : held;
            }
        },
        /** The wider open holds, whatever the epoch. */
        WIDER {
            @Override
            ZoneState of(ZoneState held, ZoneState said) {
                return said.trafficParts() > held.trafficParts() ? said : held;
            }
        },
        /** Causes of one epoch count for nothing, and the narrower holds there; else what is said. */
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
