package cacheproxy.proxy;

/** How client connections are to behave while this process drains. Event loop only. */
public final class DrainState {
    private boolean closing;
    private boolean announced;

    /** Sets the values of {@link #closing} and {@link #announced}. */
    public void set(boolean nowClosing, boolean nowAnnounced) {
        closing = nowClosing;
        announced = nowAnnounced;
    }

    /** Whether client connections close after their last outstanding response. */
    public boolean closing() {
        return closing;
    }

    /** Whether clients that query the state of the process are informed that it drains. */
    public boolean announced() {
        return announced;
    }
}
