package cacheproxy.proxy;

import io.netty.buffer.ByteBuf;

/** A server's answer of use, free of the protocol that it came by. Whoever holds it last releases it. */
sealed interface Answer {
    /** Frees what it holds. */
    default void release() {}

    /** A read's whole value. */
    record Value(ByteBuf value) implements Answer {
        @Override
        public void release() {
            value.release();
        }
    }

    /** A write has taken effect; the receipt is the origin's word for it. */
    record Receipt(String receipt) implements Answer {}

    /** A value whose parts have been passed on is whole. */
    record End() implements Answer {
        static final End INSTANCE = new End();
    }
}
