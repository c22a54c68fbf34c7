package cacheproxy;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.proxy.lifecycle.FleetFeatures;
import org.junit.jupiter.api.Test;

/** Tests the command line of {@code serve}. */
class ServeOptionsTest {
    private static ServeOptions parse(String line) {
        return ServeOptions.parse(line.split(" ", -1));
    }

    @Test
    void withoutOptionsNothingIsEnabled() {
        ServeOptions options = parse("serve");
        assertThat(options.routesFile()).isNull();
        assertThat(options.controlSocket()).isNull();
        assertThat(options.stateFolder()).isNull();
        assertThat(options.fleetName()).isEqualTo("fleet");
        assertThat(options.metricsIntervalMs()).isZero();
        assertThat(options.features()).isEqualTo(new FleetFeatures(false, false, false));
    }

    @Test
    void eachOptionIsParsed() {
        ServeOptions options = parse("serve --edge a --control b --figures 5s --view on --zones on --recovery on "
                + "--zones off --state c --fleet d.e-f_1");
        assertThat(options.routesFile()).isEqualTo("a");
        assertThat(options.controlSocket()).isEqualTo("b");
        assertThat(options.metricsIntervalMs()).isEqualTo(5000);
        assertThat(options.features()).isEqualTo(new FleetFeatures(true, false, true));
        assertThat(options.stateFolder()).isEqualTo("c");
        assertThat(options.fleetName()).isEqualTo("d.e-f_1");
    }

    @Test
    void invalidCommandLinesAreRejected() {
        for (String invalid : new String[] {
            "--edge", "--edge ", "--edge a --edge b", "--control a --control b", "--state a --state b", "--figures 0s",
            "--figures 5", "--figures 123456s", "--figures 5s --figures 6s", "--view maybe", "--view", "--fleet -a",
            "--fleet ", "--unknown on", "on"
        }) {
            assertThat(parse("serve " + invalid)).as(invalid).isNull();
        }
    }
}
