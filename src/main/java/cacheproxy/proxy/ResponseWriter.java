package cacheproxy.proxy;

import cacheproxy.proxy.protocol.FlowControl;
import cacheproxy.proxy.protocol.ServerResponse;
import io.netty.buffer.ByteBuf;

/**
 * Writes the one response of a request to its client, in the front's protocol. The core calls exactly one of
 * {@link #writeResponse}, {@link #reject}, {@link #fail}, {@link #rejectInvalid} and {@link #beginValue}. After
 * {@link #beginValue} follow calls of {@link #writePart} and then one of {@link #endValue} or {@link #abort}. Called on
 * the event loop.
 */
public interface ResponseWriter {
    /**
     * Completes the connection's requests as disconnected if the client has closed it, even if that is still unread.
     * Called right before something is sent for the request that can't be taken back.
     */
    void detectDisconnect();

    /**
     * Claims the direct memory that the request holds for its response, for a response that begins to arrive; false if
     * another one is in it. A response that is written need not return it.
     */
    boolean claimMemory();

    /** Returns the memory, as the response in it has been released. */
    void returnMemory();

    /** Writes a complete response and releases it. */
    void writeResponse(ServerResponse response);

    /**
     * Rejects the request; a repeat is harmless. {@code retryAfterMs}: the advised delay of a retry in milliseconds; 0
     * for no advice.
     */
    void reject(double retryAfterMs);

    /** Reports a failure; the request may have been executed. */
    void fail();

    /** Rejects the request as invalid; it was not executed. */
    void rejectInvalid(String reason);

    /** Begins a value of {@code length} bytes; its parts follow as they arrive from the server. */
    void beginValue(int length, FlowControl flowControl);

    /** Writes the next part of the value and releases it. */
    void writePart(ByteBuf part);

    /** Ends the value; all of it has been written. */
    void endValue();

    /** Aborts the value; the rest of it will not arrive. */
    void abort();
}
