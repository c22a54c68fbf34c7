package cacheproxy.proxy;

import io.netty.buffer.ByteBuf;

/**
 * Where the one answer of a request goes: implemented by each front in its own protocol. The core calls one of
 * {@link #answer}, {@link #refused}, {@link #failed}, {@link #rejected} and {@link #begin}, once; after the last of
 * these parts follow, then {@link #end} or {@link #breakOff}. All on the event loop.
 */
interface Sink {
    /** The server that a long answer comes from, for a client that takes it more slowly than it comes. */
    interface Flow {
        /** No more parts are wanted for the time being, or again. */
        void hold(boolean on);
    }

    /** A whole answer, which is the sink's to release. */
    void answer(Answer answer);

    /** Turned away; repeating it is harmless. {@code retryAfterMs}: when to come back, 0 for no advice. */
    void refused(double retryAfterMs);

    /** Failed; it may have run. */
    void failed();

    /** Nothing was done with it, because it is no request that could be. */
    void rejected(String why);

    /** A value of so many bytes begins, whose parts come as they do from the server. */
    void begin(int length, Flow flow);

    /** A part of it, which is the sink's to release. */
    void part(ByteBuf part);

    /** All of it has come. */
    void end();

    /** The rest of it will not come. */
    void breakOff();
}
