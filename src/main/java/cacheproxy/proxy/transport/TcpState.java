package cacheproxy.proxy.transport;

/** The states of a TCP connection (RFC 9293, section 3.3.2) that show whether the remote side has closed it. */
enum TcpState {
    TIME_WAIT(6),
    /** Closed by both sides, or reset. */
    CLOSE(7),
    /** The remote side has closed it, this side has not; its close may still be unread. */
    CLOSE_WAIT(8),
    LAST_ACK(9),
    CLOSING(11);

    /** The number of the state in Linux's {@code tcp_states.h}. */
    private final int code;

    TcpState(int code) {
        this.code = code;
    }

    /** Whether the remote side has closed or reset a connection in the state of this number. */
    static boolean isClosedByRemote(int code) {
        for (TcpState state : values()) {
            if (state.code == code) {
                return true;
            }
        }
        return false;
    }
}
