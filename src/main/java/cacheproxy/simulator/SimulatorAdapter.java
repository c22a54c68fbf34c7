package cacheproxy.simulator;

import cacheproxy.routing.AttemptEnd;
import cacheproxy.routing.AttemptOutcome;
import cacheproxy.routing.CarpLoadBalancer;
import cacheproxy.routing.Endpoint;
import cacheproxy.routing.EndpointState;
import cacheproxy.routing.EndpointUpdateKind;
import cacheproxy.routing.LoadBalancer;
import cacheproxy.routing.Request;
import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Reads batches of events, hands each to its instance and writes the replies; decides nothing. */
public final class SimulatorAdapter {
    private static final int HEADER = 20;
    private static final int RECORD = 48;
    private static final int ENTRY = 22;
    private static final EndpointUpdateKind[] FORMS = {
        EndpointUpdateKind.SNAPSHOT, EndpointUpdateKind.DELTA, EndpointUpdateKind.CACHED, EndpointUpdateKind.FAILED
    };

    private final DataInputStream in;
    private final OutputStream out;
    private final LoadBalancer[] instances = new LoadBalancer[1 << 16];
    private final ReplyFrame reply = new ReplyFrame();
    private ByteBuffer frame = ByteBuffer.allocate(1 << 16).order(ByteOrder.LITTLE_ENDIAN);
    private double now;
    private int batch;
    private int tailStart;

    SimulatorAdapter(InputStream in, OutputStream out) {
        this.in = new DataInputStream(in);
        this.out = out;
    }

    /** Speaks on standard input and output until the input ends; the process's exit code. */
    public static int main() {
        try {
            new SimulatorAdapter(new BufferedInputStream(System.in, 1 << 16), new FileOutputStream(FileDescriptor.out))
                    .run();
            return 0;
        } catch (WireException | IOException e) {
            System.err.println(e.getMessage());
            return 1;
        }
    }

    void run() throws IOException {
        while (readFrame()) {
            reply.begin();
            int count = (tailStart - HEADER) / RECORD;
            for (int r = 0; r < count; r++) {
                dispatch(r, HEADER + r * RECORD);
            }
            reply.write(out, batch);
        }
    }

    private boolean readFrame() throws IOException {
        int first = in.read();
        if (first < 0) {
            return false;
        }
        try {
            frame.clear();
            frame.put(0, (byte) first);
            in.readFully(frame.array(), 1, 3);
            int length = frame.getInt(0);
            if (length < HEADER) {
                throw new WireException("after batch " + batch + ": frame of " + length + " bytes, under its header");
            }
            if (length > frame.capacity()) {
                ByteBuffer larger =
                        ByteBuffer.allocate(Math.max(length, length * 3 / 2)).order(ByteOrder.LITTLE_ENDIAN);
                larger.putInt(0, length);
                frame = larger;
            }
            in.readFully(frame.array(), 4, length - 4);
            frame.limit(length);
        } catch (EOFException e) {
            throw new WireException("after batch " + batch + ": input ends inside a frame");
        }
        now = frame.getDouble(4);
        long count = frame.getInt(12) & 0xFFFFFFFFL;
        batch = frame.getInt(16);
        if (HEADER + count * RECORD > frame.limit()) {
            throw new WireException("batch " + batch + ": " + count + " records exceed the frame");
        }
        tailStart = (int) (HEADER + count * RECORD);
        return true;
    }

    private void dispatch(int record, int at) {
        int code = frame.get(at) & 255;
        int i = frame.getShort(at + 1) & 0xFFFF;
        reply.actAs(i);
        try {
            if (code == 10) {
                int text = tailSpan(at + 11, 1);
                byte[] lines = bytes(text, frame.getInt(at + 15));
                instances[i] = new CarpLoadBalancer(
                        SettingsParser.ofLines(new String(lines, StandardCharsets.UTF_8))
                                .settings(),
                        frame.getLong(at + 3));
                return;
            }
            LoadBalancer target = instances[i];
            if (target == null) {
                throw new WireException("unknown instance " + i);
            }
            if (code == 100) {
                instances[i] = null;
            } else {
                handle(target, code, at);
            }
        } catch (WireException e) {
            throw new WireException("batch " + batch + ", record " + record + ": " + e.getMessage());
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            reply.fault("instance " + i + ": " + e + (trace.length > 0 ? " at " + trace[0] : ""));
        }
    }

    private void handle(LoadBalancer target, int code, int at) {
        switch (code) {
            case 20 -> {
                int form = frame.get(at + 11) & 255;
                if (form >= FORMS.length) {
                    throw new WireException("unknown list form " + form);
                }
                target.onEndpointUpdate(now, FORMS[form], members(at + 12), reply);
            }
            case 30 -> target.onRequest(now, request(at), reply);
            case 40 ->
                target.onFirstByte(now, frame.getInt(at + 3), frame.get(at + 7) & 255, frame.getInt(at + 8), reply);
            case 50 ->
                target.onAttemptEnd(
                        now,
                        new AttemptEnd(
                                frame.getInt(at + 3),
                                frame.get(at + 7) & 255,
                                frame.getInt(at + 8),
                                outcome(at + 12),
                                frame.getDouble(at + 14),
                                frame.get(at + 22) != 0,
                                frame.getInt(at + 23),
                                report(at + 27)),
                        reply);
            case 60 -> target.onClientDisconnected(now, frame.getInt(at + 3), reply);
            case 70 -> target.onTimer(now, frame.getInt(at + 3), reply);
            case 80 ->
                target.onHealthCheckResult(
                        now, frame.getInt(at + 3), outcome(at + 7), frame.getDouble(at + 9), report(at + 17), reply);
            case 90 ->
                target.onPeerMessage(
                        now, frame.getInt(at + 3), bytes(tailSpan(at + 7, 1), frame.getInt(at + 11)), reply);
            default -> throw new WireException("unknown event code " + code);
        }
    }

    private Request request(int at) {
        int attrs = frame.getShort(at + 7);
        return new Request(
                frame.getInt(at + 3),
                frame.getShort(at + 41) & 0xFFFF,
                frame.getInt(at + 25),
                frame.getLong(at + 33),
                frame.getDouble(at + 9),
                (attrs & 1) != 0 ? frame.getDouble(at + 17) : Double.NaN,
                frame.getFloat(at + 29),
                (attrs & 4) != 0,
                (attrs & 2) != 0);
    }

    private List<Endpoint> members(int at) {
        int start = tailSpan(at, ENTRY);
        int count = frame.getInt(at + 4);
        List<Endpoint> list = new ArrayList<>(count);
        for (int e = start; e < start + count * ENTRY; e += ENTRY) {
            int phase = frame.get(e + 9) & 255;
            list.add(new Endpoint(
                    frame.getInt(e),
                    frame.getShort(e + 4) & 0xFFFF,
                    frame.get(e + 6) & 255,
                    frame.getShort(e + 7) & 0xFFFF,
                    EndpointState.ofWireCode(phase).orElseThrow(() -> new WireException("unknown phase " + phase)),
                    frame.getFloat(e + 10),
                    frame.getDouble(e + 14)));
        }
        return list;
    }

    private float[] report(int at) {
        int n = frame.get(at) & 255;
        if (n > 4) {
            throw new WireException("load report of " + n + " values");
        }
        if (n == 0) {
            return null;
        }
        float[] values = new float[n];
        for (int v = 0; v < n; v++) {
            values[v] = frame.getFloat(at + 1 + 4 * v);
        }
        return values;
    }

    private AttemptOutcome outcome(int at) {
        int status = frame.getShort(at) & 0xFFFF;
        return switch (status) {
            case 100 -> AttemptOutcome.OK;
            case 101 -> AttemptOutcome.MISS;
            case 301 -> AttemptOutcome.ERROR;
            case 302 -> AttemptOutcome.REJECTED;
            case 303 -> AttemptOutcome.TIMEOUT;
            case 304 -> AttemptOutcome.CONNECT_FAILED;
            case 305 -> AttemptOutcome.RESET;
            case 306 -> AttemptOutcome.CANCELLED;
            case 307 -> AttemptOutcome.NOT_SENT;
            default -> throw new WireException("unknown status " + status);
        };
    }

    /** Start of what the offset and length at this place name, checked to lie inside the tail. */
    private int tailSpan(int at, int unit) {
        long offset = frame.getInt(at) & 0xFFFFFFFFL;
        long length = (frame.getInt(at + 4) & 0xFFFFFFFFL) * unit;
        if (length == 0) {
            return tailStart;
        }
        if (tailStart + offset + length > frame.limit()) {
            throw new WireException("offset " + offset + " with " + length + " bytes lies outside the tail");
        }
        return (int) (tailStart + offset);
    }

    private byte[] bytes(int start, int length) {
        byte[] data = new byte[length];
        frame.get(start, data);
        return data;
    }
}
