package cacheproxy.simulator;

import cacheproxy.routing.RoutingActions;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * The reply to one batch: the orders of its instances as the simulator's records. A header with the frame's length, the
 * count of records and the number of the batch; records of one length; then a tail with the bytes that records refer
 * to. Little-endian; what a record doesn't use is zero.
 *
 * <pre>
 * code  on the wire    order
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
@SuppressWarnings("ByteBufferBackingArray") // all buffers come from allocate: offset 0
final class ReplyFrame implements RoutingActions {
    private static final int HEADER_BYTES = 12;
    private static final int RECORD_BYTES = 24;
    private static final int LENGTH_AT = 0;
    private static final int COUNT_AT = 4;
    private static final int BATCH_AT = 8;
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

    /** Starts the reply to a batch, empty. */
    void begin() {
        records.clear();
        tail.clear();
        records.position(HEADER_BYTES);
        count = 0;
    }

    /** The instance whose orders follow. */
    void actAs(int index) {
        instance = index;
    }

    /** Writes the reply, whole. */
    void write(OutputStream out, int batch) throws IOException {
        records.putInt(LENGTH_AT, records.position() + tail.position());
        records.putInt(COUNT_AT, count);
        records.putInt(BATCH_AT, batch);
        out.write(records.array(), 0, records.position());
        out.write(tail.array(), 0, tail.position());
        out.flush();
    }

    private ByteBuffer record(int code) {
        records = ensureRemaining(records, RECORD_BYTES);
        int start = records.position();
        Arrays.fill(records.array(), start, start + RECORD_BYTES, (byte) 0);
        records.put((byte) code).putShort((short) instance);
        count++;
        return records;
    }

    private void end() {
        records.position(HEADER_BYTES + RECORD_BYTES * count);
    }

    private void bytes(byte[] data) {
        records.putInt(tail.position()).putInt(data.length);
        tail = ensureRemaining(tail, data.length).put(data);
        end();
    }

    @Override
    public void send(int request, int server, double timeoutMs) {
        record(SEND).putInt(request).putInt(server).putDouble(timeoutMs);
        end();
    }

    @Override
    public void reject(int request, double retryAfterMs) {
        record(REJECT).putInt(request).putDouble(retryAfterMs);
        end();
    }

    @Override
    public void fail(int request) {
        record(FAIL).putInt(request);
        end();
    }

    @Override
    public void cancel(int request, int attempt) {
        record(CANCEL).putInt(request).put((byte) attempt);
        end();
    }

    @Override
    public void setTimer(double afterMs, int token) {
        record(SET_TIMER).putDouble(afterMs).putInt(token);
        end();
    }

    @Override
    public void checkHealth(int server) {
        record(CHECK_HEALTH).putInt(server);
        end();
    }

    @Override
    public void closeIdle(int server) {
        record(CLOSE_IDLE).putInt(server);
        end();
    }

    @Override
    public void sendToPeer(int peer, byte[] message) {
        record(SEND_TO_PEER).putInt(peer);
        bytes(message);
    }

    @Override
    public void log(String line) {
        record(LOG);
        bytes(line.getBytes(StandardCharsets.UTF_8));
    }

    /** The decision module of the instance has failed. */
    void fault(String cause) {
        record(FAULT);
        bytes(cause.getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public void setWatch(boolean on) {
        record(SET_WATCH).put((byte) (on ? 1 : 0));
        end();
    }

    @Override
    public void fetchEndpointList() {
        record(FETCH_ENDPOINT_LIST);
        end();
    }
}
