package cacheproxy.membership;

/** The phase of its service that an instance announces. */
public enum ServicePhase {
    /** It accepts no requests yet. */
    STARTING(0),
    /** It serves what it can, and collects state. */
    RECOVERING(1),
    /** Full service. */
    SERVING(2),
    /** It accepts no new clients. */
    DRAINING(3);

    private final int code;

    ServicePhase(int code) {
        this.code = code;
    }

    /** Its code on the wire, in two bits. */
    int code() {
        return code;
    }

    /** The phase of that code, 0 to 3. */
    static ServicePhase of(int code) {
        return switch (code) {
            case 0 -> STARTING;
            case 1 -> RECOVERING;
            case 2 -> SERVING;
            case 3 -> DRAINING;
            default -> throw new IllegalArgumentException("phase " + code + ", expected 0 to 3");
        };
    }
}
