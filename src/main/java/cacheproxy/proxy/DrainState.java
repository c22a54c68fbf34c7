package cacheproxy.proxy;

/** Whether this process drains, as clients' connections are to act on it. Event loop only. */
public final class DrainState {
    private boolean closing;
    private boolean announced;

    /** Sets both, as {@link #closing} and {@link #announced} tell them. */
    public void set(boolean nowClosing, boolean nowAnnounced) {
        closing = nowClosing;
        announced = nowAnnounced;
    }

    /** Whether connections close after the last response that they are owed. */
    public boolean closing() {
        return closing;
    }

    /** Whether clients that ask are told that the process drains. */
    public boolean announced() {
        return announced;
    }
}
