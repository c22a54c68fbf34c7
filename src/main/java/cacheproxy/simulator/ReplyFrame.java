package cacheproxy.simulator;

import cacheproxy.routing.RoutingActions;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * The reply to one batch: the actions of its instances as records of the simulator's wire format. A header with the
 * frame length, the number of records and the batch number; records of fixed length; then a tail with variable-length
 * data that records refer to. Little-endian; unused bytes of a record are zero.
 *
 * <pre>
 * code  on the wire    action
 * 10    place          send
 * 20    deny           reject
 * 30    finish_error   fail
 * 40    abort_attempt  cancel
 * 50    set_timer      setTimer
 * 60    check          checkHealth
 * 70    free_links     closeIdle
 * 80    tell           sendToPeer
 * 90    journal_line   log
 * 100   die            none: the decision module has thrown an exception
 * 110   watch          setWatch
 * 120   reload         fetchEndpointList
 * </pre>
 */
@SuppressWarnings("ByteBufferBackingArray") // all buffers come from allocate, so their array offset is 0
final class ReplyFrame implements RoutingActions {
    private static final int HEADER_BYTES = 12;
    private static final int RECORD_BYTES = 24;
    private static final int LENGTH_OFFSET = 0;
    private static final int COUNT_OFFSET = 4;
    private static final int BATCH_OFFSET = 8;
    private static final int INITIAL_RECORD_BYTES = 1 << 16;
    private static final int INITIAL_TAIL_BYTES = 1 << 12;

    private static final int SEND = 10;
    private static final int REJECT = 20;
    private static final int FAIL = 30;
    private static final int CANCEL = 40;
    private static final int SET_TIMER = 50;
    private static final int CHECK_HEALTH = 60;
    private static final int CLOSE_IDLE = 70;
    private static final int SEND_TO_PEER = 80;
    private static final int LOG = 90;
    private static final int FAULT = 100;
    private static final int SET_WATCH = 110;
    private static final int FETCH_ENDPOINT_LIST = 120;

    private ByteBuffer records = buffer(INITIAL_RECORD_BYTES);
    private ByteBuffer tail = buffer(INITIAL_TAIL_BYTES);
    private int count;
    private int instance;

    private static ByteBuffer buffer(int size) {
        return ByteBuffer.allocate(size).order(ByteOrder.LITTLE_ENDIAN);
    }

    private static ByteBuffer ensureRemaining(ByteBuffer b, int need) {
        if (b.remaining() >= need) {
            return b;
        }
        b.flip();
        return buffer(Math.max(2 * b.capacity(), b.limit() + need)).put(b);
    }

    /** Starts an empty reply to a batch. */
    void begin() {
        records.clear();
        tail.clear();
        records.position(HEADER_BYTES);
        count = 0;
    }

    /** Sets the instance whose actions follow. */
    void setInstance(int index) {
        instance = index;
    }

    /** Writes the complete reply. */
    void write(OutputStream out, int batch) throws IOException {
        records.putInt(LENGTH_OFFSET, records.position() + tail.position());
        records.putInt(COUNT_OFFSET, count);
        records.putInt(BATCH_OFFSET, batch);
        out.write(records.array(), 0, records.position());
        out.write(tail.array(), 0, tail.position());
        out.flush();
    }

    private ByteBuffer beginRecord(int code) {
        records = ensureRemaining(records, RECORD_BYTES);
        int start = records.position();
        Arrays.fill(records.array(), start, start + RECORD_BYTES, (byte) 0);
        records.put((byte) code).putShort((short) instance);
        count++;
        return records;
    }

    private void endRecord() {
        records.position(HEADER_BYTES + RECORD_BYTES * count);
    }

    private void appendTail(byte[] data) {
        records.putInt(tail.position()).putInt(data.length);
        tail = ensureRemaining(tail, data.length).put(data);
        endRecord();
    }

    @Override
    public void send(int request, int server, double timeoutMs) {
        beginRecord(SEND).putInt(request).putInt(server).putDouble(timeoutMs);
        endRecord();
    }

    @Override
    public void reject(int request, double retryAfterMs) {
        beginRecord(REJECT).putInt(request).putDouble(retryAfterMs);
        endRecord();
    }

    @Override
    public void fail(int request) {
        beginRecord(FAIL).putInt(request);
        endRecord();
    }

    @Override
    public void cancel(int request, int attempt) {
        beginRecord(CANCEL).putInt(request).put((byte) attempt);
        endRecord();
    }

    @Override
    public void setTimer(double afterMs, int token) {
        beginRecord(SET_TIMER).putDouble(afterMs).putInt(token);
        endRecord();
    }

    @Override
    public void checkHealth(int server) {
        beginRecord(CHECK_HEALTH).putInt(server);
        endRecord();
    }

    @Override
    public void closeIdle(int server) {
        beginRecord(CLOSE_IDLE).putInt(server);
        endRecord();
    }

    @Override
    public void sendToPeer(int peer, byte[] message) {
        beginRecord(SEND_TO_PEER).putInt(peer);
        appendTail(message);
    }

    @Override
    public void log(String line) {
        beginRecord(LOG);
        appendTail(line.getBytes(StandardCharsets.UTF_8));
    }

    /** Reports that the instance's decision module has thrown an exception. */
    void fault(String cause) {
        beginRecord(FAULT);
        appendTail(cause.getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public void setWatch(boolean on) {
        beginRecord(SET_WATCH).put((byte) (on ? 1 : 0));
        endRecord();
    }

    @Override
    public void fetchEndpointList() {
        beginRecord(FETCH_ENDPOINT_LIST);
        endRecord();
    }
}
