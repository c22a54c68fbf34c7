package cacheproxy.emulator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ValueSizesTest {
    @Test
    void sharesOfTheKeysHaveLongerValuesAndAKeyAlwaysTheSame() {
        ValueSizes sizes = ValueSizes.parse("4mb:0.05,64kb:0.2", 400);
        int large = 0;
        int middle = 0;
        for (int i = 0; i < 20_000; i++) {
            String key = Keys.key(i);
            int bytes = sizes.bytesOf(key);
            assertThat(sizes.bytesOf(key)).isEqualTo(bytes);
            large += bytes == 4 << 20 ? 1 : 0;
            middle += bytes == 64 << 10 ? 1 : 0;
        }
        assertThat(large).isBetween(850, 1150);
        assertThat(middle).isBetween(3700, 4300);
        assertThat(ValueSizes.parse("", 7)).isEqualTo(ValueSizes.of(7));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "4mb | no SIZE:SHARE",
                "4mb:5% | no SIZE:SHARE",
                "5mb:0.1 | more than 4mb",
                "400:0.1 | name the unit",
                "4mb:0.6,1kb:0.6 | add up to",
                "4mb:0 | above 0",
                "4mb:0.1, | no SIZE:SHARE"
            })
    void aMixOfNoUseIsToldWithAFix(String mix, String told) {
        assertThatThrownBy(() -> ValueSizes.parse(mix, 400))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining(told);
    }
}
