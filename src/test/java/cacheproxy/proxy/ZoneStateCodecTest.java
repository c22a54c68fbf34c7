package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import cacheproxy.failover.StoredZoneState;
import cacheproxy.failover.ZoneState;
import cacheproxy.failover.ZoneState.Cause;
import com.google.gson.JsonParser;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** The stored format of zone decisions, as released versions write it. */
class ZoneStateCodecTest {
    private static final List<String> NAMES = List.of("east", "west", "north", "south");
    private static final Map<Integer, StoredZoneState> ALL = new TreeMap<>(Map.of(
            0, new StoredZoneState(new ZoneState(4, 15, Cause.EVIDENCE, 1), 7),
            1, new StoredZoneState(new ZoneState(9, 0, Cause.LEAVE, 0), 9),
            2, new StoredZoneState(new ZoneState(2, 5, Cause.RETURN, 3), 2),
            3, new StoredZoneState(new ZoneState(1, 11, Cause.HOLD, 2), 3),
            4, new StoredZoneState(new ZoneState(1, 11, Cause.HOLD, 2), 3)));

    private static final String EVIDENCE =
            "{\"east\":{\"epoch\":4,\"open\":15,\"cause\":\"evidence\",\"leaves\":1,\"floor\":7}}";
    private static final String ORDERED =
            "{\"west\":{\"epoch\":9,\"open\":0,\"cause\":\"leave\",\"leaves\":0,\"floor\":9},"
                    + "\"north\":{\"epoch\":2,\"open\":5,\"cause\":\"return\",\"leaves\":3,\"floor\":2},"
                    + "\"south\":{\"epoch\":1,\"open\":11,\"cause\":\"hold\",\"leaves\":2,\"floor\":3}}";

    @Test
    void statesAreWrittenAsRecorded() {
        assertThat(ZoneStateCodec.encode(ALL, false, NAMES)).hasToString(EVIDENCE);
        assertThat(ZoneStateCodec.encode(ALL, true, NAMES)).hasToString(ORDERED);
    }

    @Test
    void recordedStatesAreRead() {
        Map<Integer, StoredZoneState> read =
                new TreeMap<>(ZoneStateCodec.decode(JsonParser.parseString(EVIDENCE), NAMES));
        read.putAll(ZoneStateCodec.decode(JsonParser.parseString(ORDERED), NAMES));
        Map<Integer, StoredZoneState> expected = new TreeMap<>(ALL);
        expected.remove(4);
        assertThat(read).isEqualTo(expected);
        assertThat(ZoneStateCodec.decode(JsonParser.parseString(ORDERED), List.of("south")))
                .containsOnly(Map.entry(0, ALL.get(3)));
    }

    @Test
    void anUnknownCauseIsRejected() {
        String unknown = EVIDENCE.replace("evidence", "rumour");
        assertThatThrownBy(() -> ZoneStateCodec.decode(JsonParser.parseString(unknown), NAMES))
                .isInstanceOf(IllegalArgumentException.class);
    }
}
