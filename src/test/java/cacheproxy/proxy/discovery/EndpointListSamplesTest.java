package cacheproxy.proxy.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.WireSamples;
import com.google.gson.JsonParser;
import java.util.List;
import java.util.TreeSet;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Decodes recorded responses of discovery, one of each format. */
class EndpointListSamplesTest {
    private static final EndpointListCodec CODEC =
            new EndpointListCodec(List.of("east", "west_coast"), List.of("fast", "slow", "origin"));

    private static String read(String name) {
        DecodedList read = CODEC.decode(JsonParser.parseString(WireSamples.text("discovery/" + name + ".json")));
        StringBuilder text = new StringBuilder();
        text.append("version ").append(read.version()).append(", whole ").append(read.snapshot());
        for (DiscoveredEndpoint host : read.endpoints()) {
            text.append('\n').append(Integer.toHexString(host.endpoint().id()));
            text.append(" zone ").append(host.endpoint().zone());
            text.append(" kind ").append(host.endpoint().kind());
            text.append(" cell ").append(host.endpoint().cell());
            text.append(" state ").append(host.endpoint().state().ordinal());
            text.append(" weight ").append(host.endpoint().weight());
            text.append(" started ").append(host.endpoint().startTimeMs());
            text.append(" at ").append(Addresses.text(host.address()));
            text.append(" as ").append(host.attributes().host());
            text.append(", ").append(host.attributes().site());
            text.append(", ").append(host.attributes().kind());
            text.append(", ").append(new TreeSet<>(host.attributes().labels()));
        }
        text.append("\nnamed ").append(read.rawEntries().keySet());
        text.append("\nunusable ").append(new TreeSet<>(read.rejectedHosts()));
        text.append("\nwrong ").append(read.errors().size()).append('\n');
        return text.toString();
    }

    @ParameterizedTest
    @ValueSource(strings = {"list-whole", "list-changes", "list-indented", "list-partly-usable"})
    void anAnswerIsReadAsRecorded(String name) {
        assertThat(read(name)).isEqualTo(WireSamples.text("discovery/" + name + ".txt"));
    }
}
