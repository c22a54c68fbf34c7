package cacheproxy.recovery;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.GoldenFile;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * The messages of the state query and the byte of an instance's load have the form that instances of other versions
 * read.
 */
class PeerStateMessageTest {
    private static final String FILE = "recovery/messages.txt";

    private static Map<String, PeerStateSummary> answers() {
        Map<String, PeerStateSummary> all = new LinkedHashMap<>();
        all.put("answer-least", new PeerStateSummary(0, 0, 0, 0, List.of()));
        all.put("answer-usual", new PeerStateSummary(43, 21.5f, 3.25f, 0.96875f, List.of(0xbeef, -5)));
        all.put(
                "answer-most",
                new PeerStateSummary(
                        Long.MAX_VALUE,
                        1e6f,
                        1e6f,
                        1,
                        IntStream.range(0, PeerStateSummary.MAX_AVOIDED_NODES)
                                .boxed()
                                .toList()));
        return all;
    }

    private static String hex(byte[] bytes) {
        return HexFormat.of().formatHex(bytes);
    }

    @Test
    void messagesEncodeAsPinned() {
        StringBuilder all = new StringBuilder();
        all.append("question ").append(hex(PeerStateSummary.query())).append('\n');
        answers()
                .forEach((name, summary) -> all.append(name)
                        .append(' ')
                        .append(hex(summary.encode()))
                        .append('\n'));
        GoldenFile.assertText(FILE, all.toString());
    }

    @Test
    void pinnedMessagesDecode() {
        Map<String, byte[]> read = GoldenFile.text(FILE)
                .lines()
                .map(l -> l.split(" "))
                .collect(Collectors.toMap(w -> w[0], w -> HexFormat.of().parseHex(w[1])));
        assertThat(PeerStateSummary.isQuery(read.get("question"))).isTrue();
        answers()
                .forEach((name, summary) ->
                        assertThat(PeerStateSummary.decode(read.get(name))).isEqualTo(summary));
    }

    @Test
    void rateCodesAreAsPinned() {
        StringBuilder table = new StringBuilder();
        for (double rate : new double[] {Double.NaN, 0, 0.49, 0.5, 1, 2, 7.5, 100, 2500, 1e6, 1e30}) {
            byte code = RequestRateCode.encode(rate);
            table.append(rate)
                    .append(' ')
                    .append(code & 0xff)
                    .append(' ')
                    .append(RequestRateCode.decode(code))
                    .append('\n');
        }
        GoldenFile.assertText("recovery/load-codes.txt", table.toString());
    }
}
