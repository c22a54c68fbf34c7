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

/** Decoding of the entries of discovery's list. */
class EndpointListCodecTest {
    private static final EndpointListCodec CODEC =
            new EndpointListCodec(List.of("east", "west_coast"), List.of("fast", "origin"));
    private static final String ENTRY = "{'host':'s-5be2a07c','dial':'127.0.0.1:9','site':'west coast','class':'fast',"
            + "'block':3,'health':'draining','share':0.5,'born_ms':7}";

    private static JsonObject list(String... entries) {
        return JsonParser.parseString("{'hosts':[" + String.join(",", entries) + "]}")
                .getAsJsonObject();
    }

    @Test
    void anEntryIsDecodedWithTheSettingsNames() {
        DiscoveredEndpoint host = CODEC.decodeAll(list(ENTRY)).get(0);
        assertThat(host.endpoint().id()).isEqualTo(0x5be2a07c);
        assertThat(host.endpoint().zone()).isEqualTo(1);
        assertThat(host.endpoint().state()).isEqualTo(EndpointState.DRAINING);
        assertThat(host.endpoint().weight()).isEqualTo(0.5f);
        assertThat(host.endpoint().startTimeMs()).isEqualTo(7);
        assertThat(host.address()).isEqualTo(Addresses.parse("127.0.0.1:9"));
        assertThat(Addresses.text(host.address())).isEqualTo("127.0.0.1:9");
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
    void anInvalidEntryIsReportedWithItsReason(String original, String replacement, String expectedMessage) {
        String entry = ENTRY.replace(original, replacement);
        assertThat(entry).isNotEqualTo(ENTRY);
        assertThatThrownBy(() -> CODEC.decodeAll(list(entry)))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining(expectedMessage);
    }

    @Test
    void aHostIsListedOnce() {
        assertThatThrownBy(() -> CODEC.decodeAll(list(ENTRY, ENTRY))).hasMessageContaining("listed twice");
    }

    @Test
    void idsAreDerivedFromTheHostsNames() {
        assertThat(EndpointListCodec.endpointId("s-5be2a07c")).isEqualTo(0x5be2a07c);
        assertThat(EndpointListCodec.endpointId("s-f2ffffff")).isEqualTo(0xf2ffffff);
        assertThat(EndpointListCodec.endpointId("cache.example"))
                .isEqualTo(EndpointListCodec.endpointId("cache.example"));
    }
}
