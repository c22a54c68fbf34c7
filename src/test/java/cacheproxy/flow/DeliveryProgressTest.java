package cacheproxy.flow;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against clients that are taken for stalled ones although they read. */
class DeliveryProgressTest {
    private static final double LATER_MS = DeliveryProgress.STALL_MS + 1;

    private final DeliveryProgress progress = new DeliveryProgress(0);

    @Test
    void outputThatDoesNotMoveHasStalled() {
        progress.observe(1, 500, 100);
        progress.observe(2, 500, 100);
        assertThat(progress.isStalled(LATER_MS)).isFalse();
        assertThat(progress.isStalled(LATER_MS + 1)).isTrue();
    }

    @Test
    void bytesThatTheClientsMachineReceivesAreProgressThoughTheKernelTakesNoMore() {
        progress.observe(1, 500, 100);
        progress.observe(LATER_MS, 500, 101);
        assertThat(progress.isStalled(2 * LATER_MS - 1)).isFalse();
    }

    @Test
    void bytesThatTheKernelTakesAreProgress() {
        progress.observe(1, 500, 0);
        progress.observe(LATER_MS, 499, 0);
        assertThat(progress.isStalled(LATER_MS + 1)).isFalse();
    }
}
