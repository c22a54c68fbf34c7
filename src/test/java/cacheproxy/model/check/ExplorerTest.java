package cacheproxy.model.check;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.membership.Member;
import cacheproxy.membership.MemberState;
import cacheproxy.membership.MembershipReplica;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class ExplorerTest {
    private static final MemberProtocol.Bounds BOUNDS = new MemberProtocol.Bounds(1, 2, 1);

    /** Faults, each in one rule of {@link MembershipReplica}, that the exploration must find. */
    private enum Mutant {
        /** ALIVE overrides other states of the same incarnation, so a recorded death is revoked. */
        BELIEVES_THE_LIVING {
            @Override
            Member join(Member held, Member said) {
                return held.compareIncarnation(said) == 0 && said.state() == MemberState.ALIVE
                        ? said
                        : held.merge(said);
            }
        },
        /** The entry received last wins, whatever its incarnation. */
        BELIEVES_THE_LAST {
            @Override
            Member join(Member held, Member said) {
                return said;
            }
        },
        /** A refutation raises the incarnation but repeats the state it should refute. */
        REFUTES_NOTHING {
            @Override
            Member beyond(Member self, Member said) {
                return new Member(
                        self.id(),
                        Math.max(self.incarnation(), said.incarnation()) + 1,
                        self.processNonce(),
                        said.state(),
                        said.confirmers(),
                        self.zone(),
                        self.version(),
                        self.phase(),
                        self.metadata(),
                        self.address());
            }
        },
        /** A refutation reuses the incarnation of the entry it refutes instead of a higher one. */
        GOES_NOT_BEYOND {
            @Override
            Member beyond(Member self, Member said) {
                return next(self, said.incarnation());
            }
        };

        Member join(Member held, Member said) {
            return held.merge(said);
        }

        Member beyond(Member self, Member said) {
            return next(self, Math.max(self.incarnation(), said.incarnation()) + 1);
        }

        private static Member next(Member self, long incarnation) {
            return Member.start(self.id(), incarnation, self.processNonce(), self.zone(), self.address());
        }
    }

    private static final class Wrong extends MembershipReplica {
        private static final ThreadLocal<Mutant> MUTANT = new ThreadLocal<>();

        Wrong(Member self) {
            super(self, MemberProtocol.INSTANCES);
        }

        Wrong(MembershipReplica of) {
            super(of);
        }

        @Override
        protected Member mergeMembers(Member held, Member said) {
            return MUTANT.get().join(held, said);
        }

        @Override
        protected Member refute(Member self, Member said) {
            return MUTANT.get().beyond(self, said);
        }
    }

    @Test
    void whatTheProgramKnowsBreaksNothing() {
        Explorer.Result r = new Explorer<>(MemberProtocol.real(new MemberProtocol.Bounds(1, 1, 1))).run(1_000_000);
        assertThat(r.broken()).isNull();
        assertThat(r.complete()).isTrue();
        assertThat(r.states()).isGreaterThan(3000);
    }

    @ParameterizedTest
    @EnumSource(Mutant.class)
    void oneWrongLineIsFoundWithATrace(Mutant mutant) {
        Wrong.MUTANT.set(mutant);
        Explorer.Result r =
                new Explorer<>(new MemberProtocol(BOUNDS, e -> new Wrong(e), k -> new Wrong(k))).run(1_000_000);
        assertThat(r.broken()).as(r.text()).isNotNull();
        assertThat(r.trace()).hasSize(r.depth()).isNotEmpty();
    }
}
