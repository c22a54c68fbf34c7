package cacheproxy.emulator.meta;

/** A response as decoded by a client. {@code id} is null if the response line carries none. */
public sealed interface MetaAnswer {

    /** The request id echoed in the response, or null. */
    String id();

    /** A successful read. {@code begunNanos}: when its first line was decoded, by {@link System#nanoTime()}. */
    record Value(String id, byte[] value, long begunNanos) implements MetaAnswer {}

    /** A successful write. */
    record Receipt(String id, String receipt) implements MetaAnswer {}

    /** A cache miss. */
    record Miss(String id) implements MetaAnswer {}

    /** {@code MN}, the response to a no-op. */
    record Noop() implements MetaAnswer {
        @Override
        public String id() {
            return null;
        }
    }

    /** Rejected without being executed, so a retry is safe after {@code retryAfterMs} (0: no delay was given). */
    record Busy(long retryAfterMs) implements MetaAnswer {
        @Override
        public String id() {
            return null;
        }
    }

    /** Any other response line. */
    record Failed(String line) implements MetaAnswer {
        @Override
        public String id() {
            return null;
        }
    }
}
