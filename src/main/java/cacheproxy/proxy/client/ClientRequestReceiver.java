package cacheproxy.proxy.client;

import cacheproxy.flow.ReadTimeout;
import cacheproxy.proxy.Dispatcher;
import cacheproxy.proxy.RequestOutcome;
import cacheproxy.proxy.protocol.DeadlineTemplate;
import cacheproxy.proxy.protocol.MetaCodec;
import cacheproxy.proxy.protocol.RequestCommand;
import cacheproxy.proxy.protocol.ValueBuffer;
import cacheproxy.route.Routing;
import io.netty.buffer.ByteBuf;
import java.util.concurrent.TimeUnit;

/**
 * Decodes the commands of one client connection and hands their requests on. Stops where the client has too many
 * requests in flight, does not take its responses or waits for memory for a value, and times a client out that stops in
 * the middle of a command. On the event loop only.
 */
final class ClientRequestReceiver {
    private static final int MAX_PIPELINED = 32;
    /** How long a client waits for memory before it may send a value, in milliseconds; then its write is rejected. */
    private static final double RESERVATION_WAIT_MS = 2000;

    private static final String BAD_FORMAT = "CLIENT_ERROR bad command line format\r\n";
    /** Stands for a write that makes no request; its value is read and dropped. */
    private static final RequestCommand NO_REQUEST = new RequestCommand(
            Routing.META_FRONT, "", null, true, null, DeadlineTemplate.EMPTY, DeadlineTemplate.EMPTY);

    private final ClientConnection connection;
    private final ClientResponseQueue responses;
    private final Dispatcher dispatcher;
    private final ClientInput input;

    /** The write whose value is being received; null between commands. */
    private RequestCommand incoming;
    /** Its value; null if there is no memory for it. */
    private ValueBuffer value;
    /** Bytes of it, with its line end, that are still to arrive. */
    private int missingBytes;

    private boolean awaitsReservation;
    /** Complete commands may be waiting in the decoder. */
    private boolean stopped;
    /** When decoding was last resumed. */
    private double resumedMs = Double.NEGATIVE_INFINITY;

    private ReadTimeout readTimeout;
    private boolean timerSet;

    ClientRequestReceiver(ClientConnection connection, ClientResponseQueue responses, Dispatcher dispatcher) {
        this.connection = connection;
        this.responses = responses;
        this.dispatcher = dispatcher;
        input = new ClientInput(dispatcher);
    }

    /** The connection is open; {@code adopted}: another process has accepted it and may have served it. */
    void start(double nowMs, boolean adopted) {
        readTimeout = adopted ? ReadTimeout.forAdoptedConnection(nowMs) : ReadTimeout.forNewConnection(nowMs);
        setTimer();
    }

    ClientInput input() {
        return input;
    }

    /** Whether a command line has been decoded whose value has not arrived completely. */
    boolean receivesValue() {
        return incoming != null;
    }

    // ---- commands

    /** Decodes the next command, or as much of it as there is. */
    void decode(ByteBuf in) throws MetaCodec.SyntaxException {
        if (mustStop()) {
            stop();
            input.pauseIfFull(connection.context(), in.readableBytes());
        } else if (incoming != null) {
            receiveValue(in);
        } else {
            receiveLine(in);
        }
    }

    private boolean mustStop() {
        return responses.size() >= MAX_PIPELINED
                || !connection.context().channel().isWritable()
                || awaitsReservation;
    }

    private void stop() {
        stopped = true;
        readTimeout.setPaused(true, dispatcher.now());
    }

    /** Decodes on if that was stopped and need not be any more. */
    void resumeIfPossible() {
        if (stopped && !mustStop()) {
            stopped = false;
            resumedMs = dispatcher.now();
            readTimeout.setPaused(false, resumedMs);
            setTimer();
            input.resume(connection.context());
            connection.decodeBuffered();
        }
    }

    private void receiveLine(ByteBuf in) throws MetaCodec.SyntaxException {
        String line = MetaCodec.readLine(in);
        if (line != null) {
            readTimeout.commandCompleted();
            handle(line, input.lastTakenArrivedMs(in.readableBytes()));
        } else if (in.isReadable()) {
            readTimeout.lineStarted(Math.max(input.nextArrivedMs(in.readableBytes()), resumedMs));
            setTimer();
        }
    }

    private void handle(String line, double receivedMs) throws MetaCodec.SyntaxException {
        MetaCommand parsed = MetaCommand.parse(line);
        switch (parsed.kind()) {
            case NOOP -> responses.respond(dispatcher.drain().announced() ? "SERVER_ERROR draining\r\n" : "MN\r\n");
            case UNKNOWN -> responses.respond("ERROR\r\n");
            case READ -> {
                if (parsed.command() == null) {
                    responses.respond(BAD_FORMAT);
                } else {
                    responses.accept(parsed.command(), receivedMs);
                }
            }
            case WRITE -> startValue(parsed, receivedMs);
        }
    }

    /** A value follows, whether the line makes a request or not. */
    private void startValue(MetaCommand write, double receivedMs) {
        incoming = write.command() != null ? write.command() : NO_REQUEST;
        missingBytes = write.valueLength() + MetaCodec.LINE_END_BYTES;
        readTimeout.valueStarted(Math.max(receivedMs, resumedMs));
        setTimer();
        if (write.command() != null) {
            reserve(write.command());
        }
    }

    /** Reserves memory for the whole value, now or after a wait; without any the value is read and dropped. */
    private void reserve(RequestCommand command) {
        command.valueReservation = dispatcher.bufferLimits().values().reserve(missingBytes, () -> granted(command));
        if (command.valueReservation != null && command.valueReservation.granted()) {
            value = newValueBuffer();
        } else if (command.valueReservation != null) {
            awaitsReservation = true;
            stop();
            dispatcher.after(RESERVATION_WAIT_MS, () -> reservationTimedOut(command));
        }
    }

    private void granted(RequestCommand command) {
        if (incoming == command) {
            awaitsReservation = false;
            value = newValueBuffer();
            connection.updateBackpressure();
        }
    }

    private void reservationTimedOut(RequestCommand command) {
        if (incoming == command && awaitsReservation) {
            awaitsReservation = false;
            command.release();
            connection.updateBackpressure();
        }
    }

    private ValueBuffer newValueBuffer() {
        return new ValueBuffer(connection.context().alloc(), missingBytes);
    }

    private void receiveValue(ByteBuf in) throws MetaCodec.SyntaxException {
        int bytes = Math.min(missingBytes, in.readableBytes());
        missingBytes -= bytes;
        readTimeout.valueReceived(bytes, dispatcher.now());
        if (value == null) {
            in.skipBytes(bytes);
        } else {
            value.add(in, bytes);
        }
        if (missingBytes == 0) {
            completeWrite(input.lastTakenArrivedMs(in.readableBytes()));
        }
    }

    private void completeWrite(double receivedMs) throws MetaCodec.SyntaxException {
        RequestCommand command = incoming;
        incoming = null;
        readTimeout.commandCompleted();
        if (value == null) {
            rejectWithoutValue(command);
            return;
        }
        command.value = value.assemble();
        value = null;
        if (!MetaCodec.endsWithLineEnd(command.value)) {
            command.release();
            throw new MetaCodec.SyntaxException("bad data chunk");
        }
        responses.accept(command, receivedMs);
    }

    /** There was no memory for the value, or the line made no request; nothing was forwarded. */
    private void rejectWithoutValue(RequestCommand command) {
        if (command.id == null) {
            responses.respond(BAD_FORMAT);
            return;
        }
        dispatcher.counters().recordOutcome(command.parameters.className(), RequestOutcome.REJECTED);
        responses.respond(MetaCodec.BUSY + "\r\n");
    }

    /** Releases what has been received of a write. */
    void dropIncoming() {
        if (incoming == null) {
            return;
        }
        if (value != null) {
            value.release();
            value = null;
        }
        incoming.release();
        incoming = null;
    }

    // ---- timeout

    private void setTimer() {
        double expiresMs = readTimeout.expiresAtMs();
        if (!timerSet && expiresMs != Double.POSITIVE_INFINITY) {
            timerSet = true;
            dispatcher.after(expiresMs - dispatcher.now(), this::timerExpired);
        }
    }

    /** Decides after the event loop's next round of input: what arrived while the process was delayed is read first. */
    private void timerExpired() {
        connection.context().executor().schedule(this::checkTimeout, 0, TimeUnit.MILLISECONDS);
    }

    private void checkTimeout() {
        timerSet = false;
        if (connection.mayTimeOut() && dispatcher.now() >= readTimeout.expiresAtMs()) {
            timeOut();
        } else if (!connection.closing()) {
            setTimer();
        }
    }

    private void timeOut() {
        dispatcher.failures().clientTimedOut(connection.context().channel().remoteAddress(), readTimeout);
        dropIncoming();
        if (input.anyReceived()) {
            connection.respondAndClose("CLIENT_ERROR timed out\r\n");
        } else {
            connection.closeGracefully(); // a line would be taken for the response to a request that is on its way
        }
    }
}
