package cacheproxy.proxy.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.WireSamples;
import com.google.gson.JsonParser;
import java.util.List;
import java.util.TreeSet;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Discovery's answers in each of their forms, and what is read of them. */
class ListSamplesTest {
    private static final ListForm FORM = new ListForm(List.of("east", "west_coast"), List.of("fast", "slow", "origin"));

    private static String read(String name) {
        ListForm.Read read = FORM.read(JsonParser.parseString(WireSamples.text("discovery/" + name + ".json")));
        StringBuilder text = new StringBuilder();
        text.append("version ").append(read.version()).append(", whole ").append(read.whole());
        for (Host host : read.hosts()) {
            text.append('\n').append(Integer.toHexString(host.member().id()));
            text.append(" zone ").append(host.member().zone());
            text.append(" kind ").append(host.member().kind());
            text.append(" cell ").append(host.member().cell());
            text.append(" state ").append(host.member().state().ordinal());
            text.append(" weight ").append(host.member().weight());
            text.append(" started ").append(host.member().startTimeMs());
            text.append(" at ").append(Addresses.text(host.dial()));
            text.append(" as ").append(host.server().host());
            text.append(", ").append(host.server().site());
            text.append(", ").append(host.server().kind());
            text.append(", ").append(new TreeSet<>(host.server().labels()));
        }
        text.append("\nnamed ").append(read.entries().keySet());
        text.append("\nunusable ").append(new TreeSet<>(read.unusable()));
        text.append("\nwrong ").append(read.wrong().size()).append('\n');
        return text.toString();
    }

    @ParameterizedTest
    @ValueSource(strings = {"list-whole", "list-changes", "list-indented", "list-partly-usable"})
    void anAnswerIsReadAsRecorded(String name) {
        assertThat(read(name)).isEqualTo(WireSamples.text("discovery/" + name + ".txt"));
    }
}
