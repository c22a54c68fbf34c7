package cacheproxy.simulator;

import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;

/**
 * One batch of events as it stands on the wire: a header with the frame's length, the time, the count of records and
 * the number of the batch; records of one length; then a tail with the bytes that records refer to. Little-endian. Its
 * memory is used again for the next batch.
 */
@SuppressWarnings("ByteBufferBackingArray") // all buffers come from allocate: offset 0
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
     * @return whether there was one; false at the end of the input
     * @throws MalformedInputException if the frame is cut off, or its records exceed it
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
                    "after batch " + number + ": frame of " + length + " bytes, under its header");
        }
        if (length > frame.capacity()) {
            ByteBuffer larger = allocate(Math.max(length, length * 3 / 2));
            larger.putInt(0, length);
            frame = larger;
        }
        in.readFully(frame.array(), LENGTH_BYTES, length - LENGTH_BYTES);
        frame.limit(length);
    }

    /** The time of all its events, in milliseconds. */
    double timeMs() {
        return timeMs;
    }

    int number() {
        return number;
    }

    int recordCount() {
        return (tailStart - HEADER_BYTES) / RECORD_BYTES;
    }

    /** Where a record begins in the frame. */
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

    /** The bytes of the tail that the offset and length at this place name. */
    byte[] tailBytes(int at) {
        int start = tailSpan(at, 1);
        byte[] bytes = new byte[tailLength(at)];
        frame.get(start, bytes);
        return bytes;
    }

    /** The length that stands at this place, beside an offset. */
    int tailLength(int at) {
        return frame.getInt(at + Integer.BYTES);
    }

    /**
     * Where the bytes begin that the offset and length at this place name.
     *
     * @param unitBytes of each unit that the length counts
     * @throws MalformedInputException if they don't lie inside the tail
     */
    int tailSpan(int at, int unitBytes) {
        long offset = frame.getInt(at) & 0xFFFFFFFFL;
        long length = (tailLength(at) & 0xFFFFFFFFL) * unitBytes;
        if (length == 0) {
            return tailStart;
        }
        if (tailStart + offset + length > frame.limit()) {
            throw new MalformedInputException("offset " + offset + " with " + length + " bytes lies outside the tail");
        }
        return (int) (tailStart + offset);
    }
}
