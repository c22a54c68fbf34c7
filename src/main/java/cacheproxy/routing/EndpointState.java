package cacheproxy.routing;

import java.util.Optional;

/** The state of an endpoint in the endpoint list. */
public enum EndpointState {
    /** It has been removed from the list; nothing is sent to it. */
    REMOVED(0),
    /** It completes its requests; no new ones are sent to it. */
    DRAINING(1),
    /** It accepts requests. */
    READY(2);

    private final int wireCode;

    EndpointState(int wireCode) {
        this.wireCode = wireCode;
    }

    /** The code in binary messages. */
    public int wireCode() {
        return wireCode;
    }

    /** The state for a code in a binary message; empty if the code is unknown. */
    public static Optional<EndpointState> ofWireCode(int code) {
        for (EndpointState state : values()) {
            if (state.wireCode == code) {
                return Optional.of(state);
            }
        }
        return Optional.empty();
    }
}
