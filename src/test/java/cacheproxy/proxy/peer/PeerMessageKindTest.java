package cacheproxy.proxy.peer;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** The codes of message kinds in a datagram, which released versions already send. */
class PeerMessageKindTest {
    @Test
    void eachKindHasItsCode() {
        assertThat(PeerMessageKind.values()).hasSize(5);
        assertThat(PeerMessageKind.ENDPOINT_LIST.code()).isEqualTo(1);
        assertThat(PeerMessageKind.LOAD_BALANCER.code()).isEqualTo(2);
        assertThat(PeerMessageKind.MEMBERSHIP.code()).isEqualTo(3);
        assertThat(PeerMessageKind.OUTLIERS.code()).isEqualTo(4);
        assertThat(PeerMessageKind.STATE_QUERY.code()).isEqualTo(5);
        assertThat(PeerMessageKind.VERSION).isZero();
    }
}
