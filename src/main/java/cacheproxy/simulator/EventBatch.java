package cacheproxy.simulator;

import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;

/**
 * Reads batches of events in their wire format: a header with the frame length, the time, the number of records and the
 * batch number; records of fixed length; then a tail with variable-length data that records refer to. Little-endian.
 * The buffer is reused for the next batch.
 */
@SuppressWarnings("ByteBufferBackingArray") // all buffers come from allocate, so their array offset is 0
final class EventBatch {
    private static final int HEADER_BYTES = 20;
    private static final int RECORD_BYTES = 48;
    private static final int LENGTH_BYTES = Integer.BYTES;
    private static final int TIME_OFFSET = 4;
    private static final int COUNT_OFFSET = 12;
    private static final int NUMBER_OFFSET = 16;
    private static final int INITIAL_BYTES = 1 << 16;

    private final DataInputStream in;
    private ByteBuffer frame = allocate(INITIAL_BYTES);
    private double timeMs;
    private int number;
    private int tailStart;

    EventBatch(InputStream in) {
        this.in = new DataInputStream(in);
    }

    private static ByteBuffer allocate(int bytes) {
        return ByteBuffer.allocate(bytes).order(ByteOrder.LITTLE_ENDIAN);
    }

    /**
     * Reads the next batch.
     *
     * @return false at the end of the input
     * @throws MalformedInputException if the frame is truncated or its records exceed it
     */
    boolean readNext() throws IOException {
        int firstByte = in.read();
        if (firstByte < 0) {
            return false;
        }
        try {
            readFrame((byte) firstByte);
        } catch (EOFException e) {
            throw new MalformedInputException("after batch " + number + ": input ends inside a frame");
        }
        timeMs = frame.getDouble(TIME_OFFSET);
        long count = frame.getInt(COUNT_OFFSET) & 0xFFFFFFFFL;
        number = frame.getInt(NUMBER_OFFSET);
        if (HEADER_BYTES + count * RECORD_BYTES > frame.limit()) {
            throw new MalformedInputException("batch " + number + ": " + count + " records exceed the frame");
        }
        tailStart = (int) (HEADER_BYTES + count * RECORD_BYTES);
        return true;
    }

    private void readFrame(byte firstByte) throws IOException {
        frame.clear();
        frame.put(0, firstByte);
        in.readFully(frame.array(), 1, LENGTH_BYTES - 1);
        int length = frame.getInt(0);
        if (length < HEADER_BYTES) {
            throw new MalformedInputException(
                    "after batch " + number + ": frame of " + length + " bytes is shorter than its header");
        }
        if (length > frame.capacity()) {
            ByteBuffer larger = allocate(Math.max(length, length * 3 / 2));
            larger.putInt(0, length);
            frame = larger;
        }
        in.readFully(frame.array(), LENGTH_BYTES, length - LENGTH_BYTES);
        frame.limit(length);
    }

    /** Returns the time of all events of the batch, in milliseconds. */
    double timeMs() {
        return timeMs;
    }

    int number() {
        return number;
    }

    int recordCount() {
        return (tailStart - HEADER_BYTES) / RECORD_BYTES;
    }

    /** Returns the offset of a record in the frame. */
    int recordStart(int index) {
        return HEADER_BYTES + index * RECORD_BYTES;
    }

    int unsignedByte(int at) {
        return frame.get(at) & 0xFF;
    }

    int unsignedShort(int at) {
        return frame.getShort(at) & 0xFFFF;
    }

    int intAt(int at) {
        return frame.getInt(at);
    }

    long longAt(int at) {
        return frame.getLong(at);
    }

    float floatAt(int at) {
        return frame.getFloat(at);
    }

    double doubleAt(int at) {
        return frame.getDouble(at);
    }

    /** Returns the tail bytes that the offset and length fields at this offset refer to. */
    byte[] tailBytes(int at) {
        int start = tailSpan(at, 1);
        byte[] bytes = new byte[tailLength(at)];
        frame.get(start, bytes);
        return bytes;
    }

    /** Returns the length field that follows the offset field at this offset. */
    int tailLength(int at) {
        return frame.getInt(at + Integer.BYTES);
    }

    /**
     * Returns the start in the frame of the tail data that the offset and length fields at this offset refer to.
     *
     * @param unitBytes the size of the units in which the length is given
     * @throws MalformedInputException if the data is outside the tail
     */
    int tailSpan(int at, int unitBytes) {
        long offset = frame.getInt(at) & 0xFFFFFFFFL;
        long length = (tailLength(at) & 0xFFFFFFFFL) * unitBytes;
        if (length == 0) {
            return tailStart;
        }
        if (tailStart + offset + length > frame.limit()) {
            throw new MalformedInputException("offset " + offset + " with " + length + " bytes is outside the tail");
        }
        return (int) (tailStart + offset);
    }
}
