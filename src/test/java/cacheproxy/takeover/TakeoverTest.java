package cacheproxy.takeover;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.takeover.Takeover.Phase;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

class TakeoverTest {
    @Example
    void itServesAtTheOldSocketOnceItHasStateAndSocket() {
        Takeover t = new Takeover(0);
        assertThat(t.told(10, true)).isTrue();
        assertThat(t.got()).isTrue();
        assertThat(t.phase()).isEqualTo(Phase.SERVING);
        t.lost(); // the old process has ended, as it should
        assertThat(t.phase()).isEqualTo(Phase.SERVING);
    }

    @Example
    void aStateThatCannotBeReadIsNone() {
        Takeover t = new Takeover(0);
        assertThat(t.told(10, false)).isFalse();
        assertThat(t.got()).isFalse();
        assertThat(t.phase()).isEqualTo(Phase.ALONE);
    }

    @Example
    void eachAnswerHasItsOwnTime() {
        Takeover t = new Takeover(0);
        assertThat(t.overdue(Takeover.PATIENCE_MS - 1)).isFalse();
        t.told(Takeover.PATIENCE_MS - 1, true);
        assertThat(t.overdue(2 * Takeover.PATIENCE_MS - 2)).isFalse();
        assertThat(t.overdue(2 * Takeover.PATIENCE_MS - 1)).isTrue();
        assertThat(t.got()).as("a socket that comes too late").isFalse();
    }

    /** Whatever happens in whatever order: it serves within twice its patience, by one socket. */
    @Property(seed = "1", tries = 2000)
    void itComesToServe(@ForAll @Size(max = 10) List<@IntRange(min = 0, max = 4) Integer> events) {
        Takeover t = new Takeover(0);
        double now = 0;
        int sockets = 0;
        boolean alone = false;
        for (int e : events) {
            now += 100;
            switch (e) {
                case 0 -> t.told(now, true);
                case 1 -> t.told(now, false);
                case 2 -> sockets += t.got() ? 1 : 0;
                case 3 -> t.lost();
                default -> t.overdue(now);
            }
            assertThat(sockets).isLessThanOrEqualTo(1);
            assertThat(t.phase() == Phase.SERVING).isEqualTo(sockets == 1);
            assertThat(alone && t.phase() != Phase.ALONE).as("goes back").isFalse();
            alone = t.phase() == Phase.ALONE;
        }
        t.overdue(now + Takeover.PATIENCE_MS);
        assertThat(t.phase()).isIn(Phase.SERVING, Phase.ALONE);
    }
}
