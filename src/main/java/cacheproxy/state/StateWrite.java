package cacheproxy.state;

/** One write to the state folder, to be carried out by {@link StateFolder}. */
public sealed interface StateWrite {
    /** The number of bytes that it writes. */
    long length();

    /** Appends to the journal. */
    record Append(byte[] bytes) implements StateWrite {
        @Override
        public long length() {
            return bytes.length;
        }
    }

    /** Replaces both files: first the snapshot, then the journal. */
    record Replace(byte[] snapshot, byte[] journal) implements StateWrite {
        @Override
        public long length() {
            return (long) snapshot.length + journal.length;
        }
    }
}
