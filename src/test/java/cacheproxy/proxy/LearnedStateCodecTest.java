package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.GoldenFile;
import cacheproxy.routing.EndpointHealthRecord;
import cacheproxy.routing.HotKey;
import cacheproxy.routing.LearnedState;
import cacheproxy.routing.LoadCount;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** The stored format of learned state, which processes of other versions read by field name. */
class LearnedStateCodecTest {
    private static final String FILE = "proxy/learned-state.json";

    private static Map<String, LearnedState> everyField() {
        Map<String, LearnedState> pools = new LinkedHashMap<>();
        pools.put(
                "",
                new LearnedState(
                        21.5,
                        3.25,
                        1.125,
                        0.75,
                        new LoadCount(110, 104.5),
                        new LoadCount(220, 219),
                        330.5,
                        List.of(new HotKey(0x7f3a_9c21_e0b4_d655L, 41), new HotKey(-2, 7)),
                        List.of(
                                new EndpointHealthRecord(0xbeef, 1_700_000_000_001.0, 3, 1_700_000_060_000.0, 2),
                                new EndpointHealthRecord(-5, 0, 0, 0, 0))));
        pools.put(
                "media",
                new LearnedState(0, 0, 0, 0, new LoadCount(0, 0), new LoadCount(0, 0), 0, List.of(), List.of()));
        return pools;
    }

    @Test
    void everyFieldIsWrittenAsPinned() {
        GoldenFile.assertText(FILE, LearnedStateCodec.toJson(everyField()) + "\n");
    }

    @Test
    void pinnedFormIsRead() {
        JsonObject stored = JsonParser.parseString(GoldenFile.text(FILE)).getAsJsonObject();
        assertThat(LearnedStateCodec.fromJson(stored)).isEqualTo(everyField());
    }
}
