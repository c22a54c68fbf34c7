package cacheproxy.proxy.protocol;

import cacheproxy.flow.ByteBudget;
import io.netty.buffer.ByteBuf;

/**
 * A command as decoded by a front protocol: what is requested, and the value of a write. Owns the value and the budget
 * reserved for it. Event loop only.
 */
public final class RequestCommand {
    /** The index of the front protocol in {@link cacheproxy.route.Routing#FRONTS}. */
    public final int front;

    public final String key;
    /** The client's id of the request; no two open requests have the same. */
    public final String id;

    public final boolean write;
    public final RequestParameters parameters;
    /** The list of named parameters for the origin, in the syntax of the meta protocol. */
    public final DeadlineTemplate originParameters;
    /** The command line for a cache node, without its line end. */
    public final DeadlineTemplate commandLine;
    /** The value with its line end, kept for further attempts until the request is completed; null for reads. */
    public ByteBuf value;
    /** What is reserved for a value that has not begun to arrive; null for reads, and later, when the value owns it. */
    public ByteBudget.Reservation valueReservation;

    /** Creates a command without a value; the codec adds that of a write. */
    public RequestCommand(
            int front,
            String key,
            String id,
            boolean write,
            RequestParameters parameters,
            DeadlineTemplate originParameters,
            DeadlineTemplate commandLine) {
        this.front = front;
        this.key = key;
        this.id = id;
        this.write = write;
        this.parameters = parameters;
        this.originParameters = originParameters;
        this.commandLine = commandLine;
    }

    /** The length of its command line without the timeout, in bytes. */
    public int textLength() {
        return commandLine.before().length() + commandLine.after().length();
    }

    /** Releases the value and its reservation. Idempotent. */
    public void release() {
        if (value != null) {
            value.release();
            value = null;
        }
        if (valueReservation != null) {
            valueReservation.release();
            valueReservation = null;
        }
    }
}
