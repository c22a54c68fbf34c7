package cacheproxy.emulator.meta;

/** One answer as a client reads it. {@code id} is null where the line carries none. */
public sealed interface MetaAnswer {

    /** The id that the answer names, or null. */
    String id();

    /** A served read; {@code begunNanos}: when its first line came, by {@link System#nanoTime()}. */
    record Value(String id, byte[] value, long begunNanos) implements MetaAnswer {}

    /** A served write. */
    record Receipt(String id, String receipt) implements MetaAnswer {}

    /** A cache node that lacks the key. */
    record Miss(String id) implements MetaAnswer {}

    /** {@code MN}. */
    record Noop() implements MetaAnswer {
        @Override
        public String id() {
            return null;
        }
    }

    /** Turned away: trying again is harmless, after {@code retryAfterMs} (0: no time was told). */
    record Busy(long retryAfterMs) implements MetaAnswer {
        @Override
        public String id() {
            return null;
        }
    }

    /** Any other line. */
    record Failed(String line) implements MetaAnswer {
        @Override
        public String id() {
            return null;
        }
    }
}
