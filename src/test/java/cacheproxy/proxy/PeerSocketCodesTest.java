package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** The codes of the kinds of item in a datagram, as released programs send them. */
class PeerSocketCodesTest {
    @Test
    void eachKindHasItsCode() {
        assertThat(PeerSocket.Kind.values()).hasSize(5);
        assertThat(PeerSocket.Kind.LIST.number()).isEqualTo(1);
        assertThat(PeerSocket.Kind.MODULE.number()).isEqualTo(2);
        assertThat(PeerSocket.Kind.MEMBERS.number()).isEqualTo(3);
        assertThat(PeerSocket.Kind.NODES.number()).isEqualTo(4);
        assertThat(PeerSocket.Kind.RECALL.number()).isEqualTo(5);
        assertThat(PeerSocket.Kind.VERSION).isZero();
    }
}
