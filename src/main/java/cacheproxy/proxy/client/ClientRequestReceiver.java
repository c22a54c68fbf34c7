package cacheproxy.proxy.client;

import cacheproxy.flow.ConnectionMemory;
import cacheproxy.flow.ReadTimeout;
import cacheproxy.proxy.Dispatcher;
import cacheproxy.proxy.RequestOutcome;
import cacheproxy.proxy.protocol.DeadlineTemplate;
import cacheproxy.proxy.protocol.MetaCodec;
import cacheproxy.proxy.protocol.RequestCommand;
import cacheproxy.proxy.protocol.ValueBuffer;
import cacheproxy.proxy.transport.InputBarrier;
import cacheproxy.proxy.transport.InputTurns;
import cacheproxy.route.Routing;
import io.netty.buffer.ByteBuf;

/**
 * Decodes the commands of one client connection and passes on their requests. Pauses while the client has too many
 * requests in flight, does not read its responses, is being written a value that is still arriving, or waits for memory
 * for a value. Times out a client that stops in the middle of a command. Event loop only.
 */
final class ClientRequestReceiver {
    private static final int MAX_PIPELINED = 32;
    /**
     * The longest wait for memory before a client may send a value, in milliseconds; at most its request's time. Then
     * the write is rejected.
     */
    private static final double MAX_RESERVATION_WAIT_MS = 2000;

    /**
     * What each line costs besides the time in which it is decoded, in microseconds: its share of reads and flushes.
     */
    private static final int LINE_COST = 1;
    /** What a request costs besides that time: its attempt. */
    private static final int REQUEST_COST = 50;
    /** How much of a response is passed on in a microsecond of processor time, in bytes. */
    private static final int RESPONSE_BYTES_PER_MICROSECOND = 200;
    /** A response of up to this length costs no more than its request, in bytes. */
    private static final int MAX_SHORT_RESPONSE_BYTES = REQUEST_COST * RESPONSE_BYTES_PER_MICROSECOND;

    private static final String BAD_FORMAT = "CLIENT_ERROR bad command line format\r\n";
    /** Placeholder for a write whose line is not a valid request; its value is read and discarded. */
    private static final RequestCommand NO_REQUEST = new RequestCommand(
            Routing.META_FRONT, "", null, true, null, DeadlineTemplate.EMPTY, DeadlineTemplate.EMPTY);

    private final ClientConnection connection;
    private final ClientResponseQueue responses;
    private final Dispatcher dispatcher;
    private final ClientInput input;
    private final InputTurns.Turns turns;
    private final ConnectionMemory.Account memory;

    /** The write whose value is being received; null between commands. */
    private RequestCommand incomingWrite;
    /** Its value; null while no memory is reserved for it. */
    private ValueBuffer value;
    /** Bytes of the value and its line end that have not arrived yet. */
    private int remainingBytes;

    private boolean awaitsReservation;
    /** Whether decoding is paused, so that complete commands may be waiting in the decoder. */
    private boolean decodingPaused;
    /** When decoding was last resumed. */
    private double resumedMs = Double.NEGATIVE_INFINITY;

    private ReadTimeout readTimeout;
    private boolean timerSet;

    ClientRequestReceiver(ClientConnection connection, ClientResponseQueue responses, Dispatcher dispatcher) {
        this.connection = connection;
        this.responses = responses;
        this.dispatcher = dispatcher;
        memory = dispatcher.bufferLimits().connections().newAccount(this::memoryCame);
        turns = connection.turns();
        input = new ClientInput(dispatcher, turns, memory.input());
    }

    /**
     * Starts the read timeout of a new connection; {@code adopted}: another process has accepted it and may have served
     * it.
     */
    void start(double nowMs, boolean adopted) {
        readTimeout = adopted ? ReadTimeout.forAdoptedConnection(nowMs) : ReadTimeout.forNewConnection(nowMs);
        setTimer();
    }

    ClientInput input() {
        return input;
    }

    /** Whether a command line has been decoded whose value has not arrived completely. */
    boolean receivesValue() {
        return incomingWrite != null;
    }

    // ---- commands

    /** Decodes the next command, or as much of it as there is. */
    void decode(ByteBuf in) throws MetaCodec.SyntaxException {
        if (isBlocked()) {
            pauseDecoding();
            input.pauseIfFull(connection.context(), in.readableBytes());
        } else if (!turns.mayWork()) {
            pauseDecoding();
            input.pauseIfFull(connection.context(), in.readableBytes());
            awaitTurn();
        } else {
            long beganNanos = System.nanoTime();
            receive(in);
            turns.charge(InputTurns.costSince(beganNanos));
        }
    }

    /** A connection whose next response may be long gives way to those that bring less work. */
    private void awaitTurn() {
        if (responses.expectedBytes() > MAX_SHORT_RESPONSE_BYTES) {
            turns.awaitBacklogged();
        } else {
            turns.await();
        }
    }

    private void receive(ByteBuf in) throws MetaCodec.SyntaxException {
        if (incomingWrite != null) {
            receiveValue(in);
        } else {
            receiveLine(in);
        }
    }

    /** Whether nothing more may be decoded until a response or memory has come. */
    private boolean isBlocked() {
        return responses.size() >= MAX_PIPELINED
                || responses.isPassingOnValue()
                || !connection.context().channel().isWritable()
                || awaitsReservation
                || (incomingWrite == null && !memory.mayBeginRequest(!responses.allWritten()));
    }

    private void pauseDecoding() {
        decodingPaused = true;
        readTimeout.setPaused(true, dispatcher.now());
    }

    boolean isDecodingPaused() {
        return decodingPaused;
    }

    /** Pauses decoding and reading, until {@link #resumeIfPossible} finds no more reason for it. */
    void pauseReading() {
        pauseDecoding();
        input.pause(connection.context());
    }

    /** Resumes decoding at the connection's next turn if it was paused and need not be any more. */
    void resumeIfPossible() {
        if (decodingPaused && !isBlocked()) {
            turns.awaitBacklogged();
        }
    }

    private void memoryCame() {
        if (decodingPaused && !isBlocked()) {
            turns.awaitBacklogged();
        } else {
            memory.passOn();
        }
    }

    /** Goes on with decoding, as a turn for which the connection waited has come. */
    void turnCame() {
        if (decodingPaused && !isBlocked()) {
            goOn();
        }
        memory.passOn();
    }

    private void goOn() {
        decodingPaused = false;
        resumedMs = dispatcher.now();
        readTimeout.setPaused(false, resumedMs);
        setTimer();
        connection.decodeBuffered();
        resumeReading();
    }

    /** Resumes reading as far as what is still to be decoded allows. */
    private void resumeReading() {
        if (!decodingPaused) {
            input.resume(connection.context());
        } else if (!responses.isPassingOnValue()) {
            input.resumeIfRoom(connection.context(), connection.waitingBytes());
        }
    }

    private void receiveLine(ByteBuf in) throws MetaCodec.SyntaxException {
        String line = MetaCodec.readLine(in);
        if (line != null) {
            turns.charge(LINE_COST);
            readTimeout.commandCompleted();
            handle(line, input.lastDecodedArrivalMs(in.readableBytes()));
        } else if (in.isReadable()) {
            readTimeout.lineStarted(Math.max(input.nextByteArrivalMs(in.readableBytes()), resumedMs));
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
                    accept(parsed.command(), receivedMs);
                }
            }
            case WRITE -> startValue(parsed, receivedMs);
        }
    }

    private void accept(RequestCommand command, double receivedMs) {
        turns.charge(REQUEST_COST + responses.expectedBytes() / RESPONSE_BYTES_PER_MICROSECOND);
        responses.accept(command, receivedMs, memory);
    }

    /** Starts to receive a value, which follows even if the line is not a valid request. */
    private void startValue(MetaCommand write, double receivedMs) {
        incomingWrite = write.command() != null ? write.command() : NO_REQUEST;
        remainingBytes = write.valueLength() + MetaCodec.LINE_END_BYTES;
        readTimeout.valueStarted(Math.max(receivedMs, resumedMs));
        setTimer();
        if (write.command() != null) {
            reserveMemory(write.command(), receivedMs);
        }
    }

    /**
     * Reserves memory for the whole value, immediately or after a wait. If there is none, the value is read and
     * discarded.
     */
    private void reserveMemory(RequestCommand command, double receivedMs) {
        command.valueReservation =
                dispatcher.bufferLimits().values().reserve(remainingBytes, () -> reservationGranted(command));
        if (command.valueReservation != null && command.valueReservation.granted()) {
            startValueBuffer(command);
        } else if (command.valueReservation != null) {
            awaitsReservation = true;
            pauseDecoding();
            dispatcher.after(reservationWaitMs(command, receivedMs), () -> reservationTimedOut(command));
        }
    }

    /** Up to the end of the request's time, if its value was sent with its line. */
    private double reservationWaitMs(RequestCommand command, double receivedMs) {
        double timeoutMs = command.parameters.timeoutMs();
        double remainingMs = receivedMs + timeoutMs - dispatcher.now();
        return timeoutMs > 0 ? Math.max(0, Math.min(MAX_RESERVATION_WAIT_MS, remainingMs)) : MAX_RESERVATION_WAIT_MS;
    }

    private void reservationGranted(RequestCommand command) {
        if (incomingWrite == command) {
            awaitsReservation = false;
            startValueBuffer(command);
            connection.updateBackpressure();
        }
    }

    private void reservationTimedOut(RequestCommand command) {
        if (incomingWrite == command && awaitsReservation) {
            awaitsReservation = false;
            command.release();
            connection.updateBackpressure();
        }
    }

    private void startValueBuffer(RequestCommand command) {
        value = new ValueBuffer(connection.context().alloc(), remainingBytes, command.valueReservation);
        command.valueReservation = null;
    }

    private void receiveValue(ByteBuf in) throws MetaCodec.SyntaxException {
        int bytes = Math.min(remainingBytes, in.readableBytes());
        remainingBytes -= bytes;
        readTimeout.valueReceived(bytes, dispatcher.now());
        if (value == null) {
            in.skipBytes(bytes);
        } else {
            value.add(in, bytes);
        }
        if (remainingBytes == 0) {
            completeWrite(input.lastDecodedArrivalMs(in.readableBytes()));
        }
    }

    private void completeWrite(double receivedMs) throws MetaCodec.SyntaxException {
        RequestCommand command = incomingWrite;
        incomingWrite = null;
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
        accept(command, receivedMs);
    }

    /**
     * Responds to a write that is not forwarded, because there was no memory for its value or its line is not a valid
     * request.
     */
    private void rejectWithoutValue(RequestCommand command) {
        if (command.id == null) {
            responses.respond(BAD_FORMAT);
            return;
        }
        dispatcher.counters().recordOutcome(command.parameters.className(), RequestOutcome.REJECTED);
        responses.respond(MetaCodec.BUSY + "\r\n");
    }

    /** Releases what it holds at the connection's end. */
    void end() {
        turns.cancel();
        memory.close();
        discardIncomingWrite();
    }

    /** Releases what has been received of an incomplete write. */
    private void discardIncomingWrite() {
        if (incomingWrite == null) {
            return;
        }
        if (value != null) {
            value.release();
            value = null;
        }
        incomingWrite.release();
        incomingWrite = null;
    }

    // ---- timeout

    private void setTimer() {
        double expiresMs = readTimeout.expiresAtMs();
        if (!timerSet && expiresMs != Double.POSITIVE_INFINITY) {
            timerSet = true;
            dispatcher.after(expiresMs - dispatcher.now(), this::timerExpired);
        }
    }

    /**
     * Checks the timeout after the event loop's next round of reads, so that input which arrived while the process was
     * delayed is read first.
     */
    private void timerExpired() {
        InputBarrier.afterInput(connection.context().executor(), this::checkTimeout);
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
        discardIncomingWrite();
        if (input.hasReceivedInput()) {
            connection.respondAndClose("CLIENT_ERROR timed out\r\n");
        } else {
            connection.closeGracefully(); // a line would be taken for the response to a request in flight
        }
    }
}
