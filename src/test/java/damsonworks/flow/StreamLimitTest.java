package damsonworks.flow;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class StreamLimitTest {
    /** With one connection alone there is no choice; with more, one at least is left for what is short. */
    @Property
    void someConnectionsAreNeverForLongAnswers(@ForAll @IntRange(min = 1, max = 50) int ordinary,
            @ForAll @IntRange(max = 50) int further, @ForAll @IntRange(min = 1, max = 400) int all) {
        int most = ordinary + further;
        StreamLimit limit = StreamLimit.of(ordinary, most, all);
        int streams = 0;
        while (limit.admits(streams, 0)) {
            streams++;
        }
        assertThat(most - streams).isEqualTo(most == 1 ? 0 : Math.max(1, ordinary / 2));
        int inAll = 0;
        while (limit.admits(0, inAll)) {
            inAll++;
        }
        assertThat(inAll).isEqualTo(Math.max(1, all / 2));
    }

    @Example
    void limitsOfNoSenseAreRefused() {
        assertThatThrownBy(() -> new StreamLimit(0, 1)).hasMessageContaining("0 long answers");
        assertThatThrownBy(() -> new StreamLimit(1, 0)).hasMessageContaining("0 in all");
    }
}
