package cacheproxy.proxy.protocol;

/** Controls how a streamed response is read from its server, so that a slow client need not buffer it. */
public interface FlowControl {
    /** Pauses reading, or resumes it. */
    void setPaused(boolean paused);
}
