package cacheproxy.simulator;

import cacheproxy.routing.AttemptEnd;
import cacheproxy.routing.AttemptOutcome;
import cacheproxy.routing.Endpoint;
import cacheproxy.routing.EndpointState;
import cacheproxy.routing.EndpointUpdateKind;
import cacheproxy.routing.LoadBalancer;
import cacheproxy.routing.Request;
import cacheproxy.routing.RoutingActions;
import java.util.ArrayList;
import java.util.List;

/**
 * Decodes the records of a batch into events of a {@link LoadBalancer}. A {@link MalformedInputException} names the
 * unknown value. Wire names that differ from the names in the code:
 *
 * <pre>
 * code  on the wire                event
 * 10    enlist                     none: an instance starts, with the settings of its boot-info
 * 20    targets                    onEndpointUpdate; form: 0 full SNAPSHOT, 1 delta DELTA, 2 cached CACHED, 3 FAILED
 * 30    accept                     onRequest; due deadlineMs, work-hint costMs, owner tenant, affinity key,
 *                                  category serviceClass
 * 40    first_byte                 onFirstByte; hop attempt, node server
 * 50    attempt_end                onAttemptEnd; over requestCompleted, detail note, pressure report
 * 60    vanished                   onClientDisconnected
 * 70    timeout_fired              onTimer; tag token
 * 80    echo                       onHealthCheckResult
 * 90    mail                       onPeerMessage; neighbour peer
 * 100   retire                     none: an instance stops
 *
 * entry of targets: campus zone, hw kind, stripe cell, phase state, share weight, born startTimeMs
 * status: 100 OK, 101 MISS, 301 ERROR, 302 REJECTED, 303 TIMEOUT, 304 CONNECT_FAILED, 305 RESET, 306 CANCELLED,
 * 307 NOT_SENT
 * </pre>
 */
final class EventDecoder {
    static final int START = 10;
    static final int STOP = 100;
    private static final int ENDPOINT_UPDATE = 20;
    private static final int REQUEST = 30;
    private static final int FIRST_BYTE = 40;
    private static final int ATTEMPT_END = 50;
    private static final int CLIENT_DISCONNECTED = 60;
    private static final int TIMER = 70;
    private static final int HEALTH_CHECK_RESULT = 80;
    private static final int PEER_MESSAGE = 90;

    /** All records begin with their code and instance; in most, an id follows. */
    private static final int CODE = 0;

    private static final int INSTANCE = 1;
    private static final int ID = 3;
    private static final int ATTEMPT = 7;
    private static final int SERVER = 8;

    private static final int SEED = 3;
    private static final int SETTINGS = 11;

    private static final int UPDATE_KIND = 11;
    private static final int UPDATE_ENTRIES = 12;

    private static final int REQUEST_FLAGS = 7;
    private static final int REQUEST_DEADLINE = 9;
    private static final int REQUEST_COST = 17;
    private static final int REQUEST_TENANT = 25;
    private static final int REQUEST_BYTES = 29;
    private static final int REQUEST_KEY = 33;
    private static final int REQUEST_CLASS = 41;
    private static final int FLAG_COST = 1;
    private static final int FLAG_CLIENT_RETRY = 2;
    private static final int FLAG_WRITE = 4;

    private static final int END_OUTCOME = 12;
    private static final int END_ELAPSED = 14;
    private static final int END_COMPLETED = 22;
    private static final int END_NOTE = 23;
    private static final int END_REPORT = 27;

    private static final int CHECK_OUTCOME = 7;
    private static final int CHECK_ELAPSED = 9;
    private static final int CHECK_REPORT = 17;

    private static final int MESSAGE = 7;

    /** The size of an entry of the endpoint list; the offsets of its fields follow. */
    private static final int ENTRY_BYTES = 22;

    private static final int ENTRY_ZONE = 4;
    private static final int ENTRY_KIND = 6;
    private static final int ENTRY_CELL = 7;
    private static final int ENTRY_STATE = 9;
    private static final int ENTRY_WEIGHT = 10;
    private static final int ENTRY_START_TIME = 14;

    private static final int MAX_REPORT_VALUES = 4;

    private final EventBatch batch;

    EventDecoder(EventBatch batch) {
        this.batch = batch;
    }

    int code(int record) {
        return batch.unsignedByte(record + CODE);
    }

    int instance(int record) {
        return batch.unsignedShort(record + INSTANCE);
    }

    /** Returns the seed of an instance that starts. */
    long seed(int record) {
        return batch.longAt(record + SEED);
    }

    /** Returns the settings of an instance that starts, as encoded lines. */
    byte[] settings(int record) {
        return batch.tailBytes(record + SETTINGS);
    }

    /** Delivers the event of a record to its instance. */
    void dispatch(int record, LoadBalancer target, RoutingActions out) {
        double nowMs = batch.timeMs();
        int id = batch.intAt(record + ID);
        int code = code(record);
        switch (code) {
            case ENDPOINT_UPDATE -> {
                EndpointUpdateKind kind = updateKind(batch.unsignedByte(record + UPDATE_KIND));
                target.onEndpointUpdate(nowMs, kind, endpoints(record + UPDATE_ENTRIES), out);
            }
            case REQUEST -> target.onRequest(nowMs, request(record), out);
            case FIRST_BYTE ->
                target.onFirstByte(nowMs, id, batch.unsignedByte(record + ATTEMPT), batch.intAt(record + SERVER), out);
            case ATTEMPT_END -> target.onAttemptEnd(nowMs, attemptEnd(record), out);
            case CLIENT_DISCONNECTED -> target.onClientDisconnected(nowMs, id, out);
            case TIMER -> target.onTimer(nowMs, id, out);
            case HEALTH_CHECK_RESULT ->
                target.onHealthCheckResult(
                        nowMs,
                        id,
                        outcome(record + CHECK_OUTCOME),
                        batch.doubleAt(record + CHECK_ELAPSED),
                        loadReport(record + CHECK_REPORT),
                        out);
            case PEER_MESSAGE -> target.onPeerMessage(nowMs, id, batch.tailBytes(record + MESSAGE), out);
            default -> throw new MalformedInputException("unknown event code " + code);
        }
    }

    private static EndpointUpdateKind updateKind(int form) {
        return switch (form) {
            case 0 -> EndpointUpdateKind.SNAPSHOT;
            case 1 -> EndpointUpdateKind.DELTA;
            case 2 -> EndpointUpdateKind.CACHED;
            case 3 -> EndpointUpdateKind.FAILED;
            default -> throw new MalformedInputException("unknown endpoint list form " + form);
        };
    }

    private Request request(int record) {
        int flags = batch.unsignedShort(record + REQUEST_FLAGS);
        return new Request(
                batch.intAt(record + ID),
                batch.unsignedShort(record + REQUEST_CLASS),
                batch.intAt(record + REQUEST_TENANT),
                batch.longAt(record + REQUEST_KEY),
                batch.doubleAt(record + REQUEST_DEADLINE),
                (flags & FLAG_COST) != 0 ? batch.doubleAt(record + REQUEST_COST) : Double.NaN,
                batch.floatAt(record + REQUEST_BYTES),
                (flags & FLAG_WRITE) != 0,
                (flags & FLAG_CLIENT_RETRY) != 0);
    }

    private AttemptEnd attemptEnd(int record) {
        return new AttemptEnd(
                batch.intAt(record + ID),
                batch.unsignedByte(record + ATTEMPT),
                batch.intAt(record + SERVER),
                outcome(record + END_OUTCOME),
                batch.doubleAt(record + END_ELAPSED),
                batch.unsignedByte(record + END_COMPLETED) != 0,
                batch.intAt(record + END_NOTE),
                loadReport(record + END_REPORT));
    }

    private List<Endpoint> endpoints(int at) {
        int start = batch.tailSpan(at, ENTRY_BYTES);
        int count = batch.tailLength(at);
        List<Endpoint> endpoints = new ArrayList<>(count);
        for (int e = start; e < start + count * ENTRY_BYTES; e += ENTRY_BYTES) {
            int phase = batch.unsignedByte(e + ENTRY_STATE);
            EndpointState state = EndpointState.ofWireCode(phase)
                    .orElseThrow(() -> new MalformedInputException("unknown endpoint phase " + phase));
            endpoints.add(new Endpoint(
                    batch.intAt(e),
                    batch.unsignedShort(e + ENTRY_ZONE),
                    batch.unsignedByte(e + ENTRY_KIND),
                    batch.unsignedShort(e + ENTRY_CELL),
                    state,
                    batch.floatAt(e + ENTRY_WEIGHT),
                    batch.doubleAt(e + ENTRY_START_TIME)));
        }
        return endpoints;
    }

    /** Decodes a load report, a count followed by that many floats; null if it is empty. */
    private float[] loadReport(int at) {
        int count = batch.unsignedByte(at);
        if (count > MAX_REPORT_VALUES) {
            throw new MalformedInputException("load report has " + count + " values, which is too many");
        }
        if (count == 0) {
            return null;
        }
        float[] values = new float[count];
        for (int v = 0; v < count; v++) {
            values[v] = batch.floatAt(at + 1 + Float.BYTES * v);
        }
        return values;
    }

    private AttemptOutcome outcome(int at) {
        int status = batch.unsignedShort(at);
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
            default -> throw new MalformedInputException("unknown attempt status " + status);
        };
    }
}
