package cacheproxy.membership;

/** The phase of its service that an instance announces. */
public enum ServicePhase {
    /** The instance accepts no requests yet. */
    STARTING(0),
    /** The instance serves what it can, and collects state. */
    RECOVERING(1),
    /** The instance is in full service. */
    SERVING(2),
    /** The instance accepts no new clients. */
    DRAINING(3);

    private final int code;

    ServicePhase(int code) {
        this.code = code;
    }

    /** Returns the code on the wire, two bits. */
    int code() {
        return code;
    }

    /** Returns the phase with this code, 0 to 3. */
    static ServicePhase of(int code) {
        return switch (code) {
            case 0 -> STARTING;
            case 1 -> RECOVERING;
            case 2 -> SERVING;
            case 3 -> DRAINING;
            default -> throw new IllegalArgumentException("service phase code " + code + ", expected 0 to 3");
        };
    }
}
