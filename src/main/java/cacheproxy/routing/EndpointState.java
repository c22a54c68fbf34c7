package cacheproxy.routing;

import java.util.Optional;

/** What the endpoint list says of an endpoint. */
public enum EndpointState {
    /** It is gone from the list: nothing is sent to it. */
    REMOVED(0),
    /** It finishes what it has; nothing new is sent to it. */
    DRAINING(1),
    /** It takes requests. */
    READY(2);

    private final int wireCode;

    EndpointState(int wireCode) {
        this.wireCode = wireCode;
    }

    /** Its code in binary messages. */
    public int wireCode() {
        return wireCode;
    }

    /** The state of a code in a binary message; empty where the code has none. */
    public static Optional<EndpointState> ofWireCode(int code) {
        for (EndpointState state : values()) {
            if (state.wireCode == code) {
                return Optional.of(state);
            }
        }
        return Optional.empty();
    }
}
