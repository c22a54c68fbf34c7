package cacheproxy.proxy.discovery;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import cacheproxy.routing.EndpointState;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What an entry of discovery's list may say. */
class ListFormTest {
    private static final ListForm FORM = new ListForm(List.of("east", "west_coast"), List.of("fast", "origin"));
    private static final String ENTRY = "{'host':'s-5be2a07c','dial':'127.0.0.1:9','site':'west coast','class':'fast',"
            + "'block':3,'health':'draining','share':0.5,'born_ms':7}";

    private static JsonObject list(String... entries) {
        return JsonParser.parseString("{'hosts':[" + String.join(",", entries) + "]}")
                .getAsJsonObject();
    }

    @Test
    void anEntryIsReadAsTheSettingsWordIt() {
        Host host = FORM.hosts(list(ENTRY)).get(0);
        assertThat(host.member().id()).isEqualTo(0x5be2a07c);
        assertThat(host.member().zone()).isEqualTo(1);
        assertThat(host.member().state()).isEqualTo(EndpointState.DRAINING);
        assertThat(host.member().weight()).isEqualTo(0.5f);
        assertThat(host.member().startTimeMs()).isEqualTo(7);
        assertThat(host.dial()).isEqualTo(Addresses.parse("127.0.0.1:9"));
        assertThat(Addresses.text(host.dial())).isEqualTo("127.0.0.1:9");
    }

    @ParameterizedTest
    @CsvSource(
            quoteCharacter = '`',
            value = {
                "'draining',`'asleep'`,unknown health",
                "'fast',`'slow'`,unknown site or class",
                "'west coast',`'north'`,unknown site or class",
                "0.5,-1,bad share",
                "'127.0.0.1:9',`'localhost:9'`,not an address",
                "'127.0.0.1:9',`'127.0.0.1:99999'`,not an address"
            })
    void oneOfNoUseIsToldWithItsReason(String there, String instead, String told) {
        String entry = ENTRY.replace(there, instead);
        assertThat(entry).isNotEqualTo(ENTRY);
        assertThatThrownBy(() -> FORM.hosts(list(entry)))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining(told);
    }

    @Test
    void aHostIsListedOnce() {
        assertThatThrownBy(() -> FORM.hosts(list(ENTRY, ENTRY))).hasMessageContaining("listed twice");
    }

    @Test
    void idsComeFromTheHostsNames() {
        assertThat(ListForm.id("s-5be2a07c")).isEqualTo(0x5be2a07c);
        assertThat(ListForm.id("s-f2ffffff")).isEqualTo(0xf2ffffff);
        assertThat(ListForm.id("cache.example")).isEqualTo(ListForm.id("cache.example"));
    }
}
