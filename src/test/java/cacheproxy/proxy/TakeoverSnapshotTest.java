package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import cacheproxy.proxy.lifecycle.TakeoverSnapshot;
import cacheproxy.routing.EndpointHealthRecord;
import cacheproxy.routing.HotKey;
import cacheproxy.routing.LearnedState;
import cacheproxy.routing.LoadCount;
import cacheproxy.state.RecordKind;
import cacheproxy.state.StoredRecord;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonPrimitive;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** A takeover's state is read as it was written, or rejected. */
class TakeoverSnapshotTest {
    private static JsonObject list() {
        JsonArray hosts = new JsonArray();
        hosts.add(ProxyFixture.host("s-0000beef", "node-fast", "127.0.0.1:9", "draining"));
        return ProxyFixture.list(43, true, hosts);
    }

    private static TakeoverSnapshot state() {
        return new TakeoverSnapshot(
                list(),
                Map.of(
                        "",
                        new LearnedState(
                                1,
                                2,
                                3,
                                0,
                                new LoadCount(4, 5),
                                new LoadCount(6, 7),
                                8,
                                List.of(new HotKey(-1, 9)),
                                List.of(new EndpointHealthRecord(-5, 0, 1, 1.7e12, 0)))),
                Map.of(RecordKind.INCARNATION, new StoredRecord(RecordKind.INCARNATION, 1.7e12, new JsonPrimitive(4))));
    }

    @Property(seed = "1", tries = 300)
    void stateIsReadAsWritten(
            @ForAll @Size(9) List<@DoubleRange(max = 1e14) Double> f,
            @ForAll @Size(max = 20) List<Long> keys,
            @ForAll @Size(max = 20) List<Integer> ids,
            @ForAll @IntRange(max = 1000) int count) {
        LearnedState e = new LearnedState(
                f.get(0),
                f.get(1),
                f.get(2),
                f.get(3),
                new LoadCount(f.get(4), f.get(5)),
                new LoadCount(f.get(6), f.get(7)),
                f.get(8),
                keys.stream().map(k -> new HotKey(k, count)).toList(),
                ids.stream()
                        .map(i -> new EndpointHealthRecord(i, f.get(1), count, f.get(0), count))
                        .toList());
        TakeoverSnapshot written = new TakeoverSnapshot(list(), Map.of("", e, "pool", e), state().records());
        assertThat(TakeoverSnapshot.parse(written.toJson())).isEqualTo(written);
    }

    @Example
    void truncatedStateIsRejected() {
        String line = state().toJson();
        for (int cut = 0; cut < line.length(); cut++) {
            String part = line.substring(0, cut);
            assertThatThrownBy(() -> TakeoverSnapshot.parse(part)).as(part).isInstanceOf(RuntimeException.class);
        }
    }

    @Example
    void invalidNumbersAreRejected() {
        String line = state().toJson();
        for (String figure : new String[] {"-1.0", "NaN", "1e300", "\"x\"", "null", "[]"}) {
            String wrong = line.replace("\"figures\":[1.0", "\"figures\":[" + figure);
            assertThat(wrong).isNotEqualTo(line);
            assertThatThrownBy(() -> TakeoverSnapshot.parse(wrong)).as(figure).isInstanceOf(RuntimeException.class);
        }
        assertThatThrownBy(() -> TakeoverSnapshot.parse(line.replace("\"v\":1", "\"v\":2")))
                .isInstanceOf(IllegalArgumentException.class);
    }

    /** A process of a version before this state was added sends its list only. */
    @Example
    void aListAloneIsAccepted() {
        JsonObject state = new JsonObject();
        state.addProperty("v", 1);
        state.add("list", list());
        assertThat(TakeoverSnapshot.parse(state.toString()))
                .isEqualTo(new TakeoverSnapshot(list(), Map.of(), Map.of()));
    }
}
