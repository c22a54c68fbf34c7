package cacheproxy.proxy.protocol;

import io.netty.buffer.ByteBuf;

/** A usable response of a server, independent of its protocol. The last owner releases it. */
public sealed interface ServerResponse {
    /** Releases the buffers that it owns. */
    default void release() {}

    /** The complete value of a read. */
    record Value(ByteBuf value) implements ServerResponse {
        @Override
        public void release() {
            value.release();
        }
    }

    /** A write has taken effect; {@code receipt} is the origin's confirmation. */
    record Receipt(String receipt) implements ServerResponse {}

    /** A streamed value has arrived completely; its parts have been passed on. */
    record EndOfValue() implements ServerResponse {
        public static final EndOfValue INSTANCE = new EndOfValue();
    }
}
