package cacheproxy.proxy.protocol;

import io.netty.buffer.ByteBuf;
import java.util.List;

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

    /** The complete value of a read that is too long for one buffer, in parts. */
    record LongValue(int length, List<ByteBuf> parts) implements ServerResponse {
        /** {@code length}: bytes of all parts together. */
        public LongValue {
            parts = List.copyOf(parts);
        }

        @Override
        public void release() {
            parts.forEach(ByteBuf::release);
        }
    }

    /** A write has taken effect; {@code receipt} is the origin's confirmation. */
    record Receipt(String receipt) implements ServerResponse {}

    /** A streamed value has arrived completely; its parts have been passed on. */
    record EndOfValue() implements ServerResponse {
        public static final EndOfValue INSTANCE = new EndOfValue();
    }
}
