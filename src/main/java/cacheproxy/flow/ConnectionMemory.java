package cacheproxy.flow;

import java.util.ArrayDeque;

/**
 * Counts the heap and direct memory that client connections hold, and limits both for all of them together: requests
 * without a response, responses that have not been written, and input that is read before it can be processed. Memory
 * for a response is reserved before its request begins. A connection that holds nothing may always begin one request,
 * as far as the memory for first responses goes; beyond that, connections wait in order until memory is returned. Pure.
 */
public final class ConnectionMemory {
    /** The direct memory of a response of unknown length, in bytes: a whole value and its lines. */
    public static final int RESPONSE_BYTES = (64 + 2) << 10;
    /** The direct memory of a write's response, in bytes: a line. */
    static final int RECEIPT_BYTES = 4 << 10;
    /** The estimated heap of a request without its texts: its state, attempts and timers, in bytes. */
    static final int REQUEST_BYTES = 3 << 10;
    /** How often the text of a command is held, in the request and in what is sent to servers. */
    static final int COMMAND_COPIES = 3;

    private final long heapBytes;
    private final long firstResponsesBytes;
    private final ByteBudget shared;
    private final ReadAheadBudget readAhead;
    private final ArrayDeque<Account> waitingForFirst = new ArrayDeque<>();
    private final ArrayDeque<Account> waitingForFurther = new ArrayDeque<>();
    /** Connections that have been told to go on and have not begun a request since. */
    private int told;

    private long requestBytes;
    private long firstResponsesHeldBytes;

    /**
     * Creates the limits.
     *
     * @param heapBytes the heap for requests of connections that have other requests, in bytes; above 0
     * @param firstResponsesBytes the direct memory for one response of each connection, in bytes
     * @param shared the budget for the other responses
     * @param readAhead the limits on input that is read ahead
     */
    public ConnectionMemory(long heapBytes, long firstResponsesBytes, ByteBudget shared, ReadAheadBudget readAhead) {
        if (heapBytes <= 0) {
            throw new IllegalArgumentException("heap for requests must be above 0, not " + heapBytes + " bytes");
        }
        this.heapBytes = heapBytes;
        this.firstResponsesBytes = firstResponsesBytes;
        this.shared = shared;
        this.readAhead = readAhead;
        shared.onRelease(this::grantFurther);
    }

    /** Returns the estimated heap of a request whose command has this length in bytes. */
    public static int requestBytes(int commandBytes) {
        return REQUEST_BYTES + COMMAND_COPIES * commandBytes;
    }

    /** What one connection holds. */
    public final class Account {
        private final Runnable onRoom;
        private final ReadAheadBudget.Reservation input = readAhead.newReservation();
        private long heldBytes;
        private boolean holdsFirstResponse;
        private boolean awaitsRoom;
        /** Whether room for its next request is kept for it. */
        private boolean mayGoOn;

        private Account(Runnable onRoom) {
            this.onRoom = onRoom;
        }

        /**
         * Whether the connection may begin another request now; if not, it is told once it may.
         *
         * @param holdsOutput whether output of the connection has not reached the kernel
         */
        public boolean mayBeginRequest(boolean holdsOutput) {
            boolean first = heldBytes == 0 && !holdsFirstResponse && !holdsOutput;
            if (first ? hasRoomForFirst() : hasRoomForFurther(mayGoOn ? told : told + 1)) {
                stopWaiting();
                return true;
            }
            if (!awaitsRoom) {
                awaitsRoom = true;
                (first ? waitingForFirst : waitingForFurther).add(this);
            }
            return false;
        }

        private void stopWaiting() {
            if (awaitsRoom) {
                awaitsRoom = false;
                waitingForFirst.remove(this);
                waitingForFurther.remove(this);
            }
        }

        /**
         * Begins a request, which {@link #mayBeginRequest} has allowed.
         *
         * @param commandBytes the length of its command
         * @param write whether its response is a receipt
         */
        public Request beginRequest(int commandBytes, boolean write) {
            return new Request(this, ConnectionMemory.requestBytes(commandBytes), write);
        }

        /** Leaves the room to the next connection that waits, if it was told to go on and has not begun a request. */
        public void passOn() {
            if (mayGoOn) {
                mayGoOn = false;
                told--;
                grantFurther();
            }
        }

        /** The connection's input that is read ahead. */
        public ReadAheadBudget.Reservation input() {
            return input;
        }

        /** Returns the input's part and ends the wait, at the connection's end; its requests end by themselves. */
        public void close() {
            input.close();
            stopWaiting();
            passOn();
        }
    }

    /** What one request holds: heap until it is answered, and direct memory until its response has been written. */
    public final class Request {
        private final Account account;
        private int heldHeapBytes;
        /** Null for a response in the connection's own part. */
        private final ByteBudget.Reservation response;

        private int responseBytes;

        private Request(Account account, int heapBytes, boolean write) {
            this.account = account;
            heldHeapBytes = heapBytes;
            account.heldBytes += heapBytes;
            requestBytes += heapBytes;
            if (account.holdsFirstResponse || !hasRoomForFirst()) {
                responseBytes = write ? RECEIPT_BYTES : RESPONSE_BYTES;
                response = shared.reservePipelined(responseBytes);
                account.passOn();
            } else {
                responseBytes = RESPONSE_BYTES;
                response = null;
                account.holdsFirstResponse = true;
                firstResponsesHeldBytes += RESPONSE_BYTES;
            }
        }

        /** Records that the response has arrived and takes this many bytes of direct memory. */
        public void responseArrived(int bytes) {
            int surplusBytes = responseBytes - bytes;
            if (response != null && surplusBytes > 0) {
                responseBytes = bytes;
                response.release(surplusBytes);
            }
        }

        /** Records that the request has been answered; its response may still be unwritten. */
        public void answered() {
            if (heldHeapBytes > 0) {
                account.heldBytes -= heldHeapBytes;
                requestBytes -= heldHeapBytes;
                heldHeapBytes = 0;
                grantFurther();
            }
        }

        /** Records that the response has reached the kernel or was dropped; further calls have no effect. */
        public void responseWritten() {
            if (responseBytes == 0) {
                return;
            }
            responseBytes = 0;
            if (response != null) {
                response.release();
            } else {
                account.holdsFirstResponse = false;
                firstResponsesHeldBytes -= RESPONSE_BYTES;
                grantFirst();
            }
        }
    }

    /** Creates the account of a connection; {@code onRoom} runs when it may go on after it had to wait. */
    public Account newAccount(Runnable onRoom) {
        return new Account(onRoom);
    }

    /** Returns the estimated heap of all requests, in bytes. */
    public long requestBytes() {
        return requestBytes;
    }

    private boolean hasRoomForFirst() {
        return firstResponsesHeldBytes + RESPONSE_BYTES <= firstResponsesBytes;
    }

    private boolean hasRoomForFurther(int requests) {
        return requestBytes + (requests - 1L) * REQUEST_BYTES < heapBytes
                && shared.hasPipelinedRoom((long) requests * RESPONSE_BYTES);
    }

    /** Tells as many connections that hold nothing as there is room for one request each. */
    private void grantFirst() {
        long roomBytes = firstResponsesBytes - firstResponsesHeldBytes;
        for (; roomBytes >= RESPONSE_BYTES && !waitingForFirst.isEmpty(); roomBytes -= RESPONSE_BYTES) {
            Account next = waitingForFirst.poll();
            next.awaitsRoom = false;
            next.onRoom.run();
        }
    }

    /** Tells as many other connections as there is room for a further request each. */
    private void grantFurther() {
        while (!waitingForFurther.isEmpty() && hasRoomForFurther(told + 1)) {
            Account next = waitingForFurther.poll();
            next.awaitsRoom = false;
            next.mayGoOn = true;
            told++;
            next.onRoom.run();
        }
    }
}
