package cacheproxy.proxy;

import cacheproxy.flow.ByteBudget;
import cacheproxy.flow.ConnectionMemory;
import cacheproxy.flow.DirectMemoryPlan;
import cacheproxy.flow.ReadAheadBudget;
import io.netty.util.internal.PlatformDependent;

/** Limits the memory for buffered values, and that of client connections. Event loop only. */
public final class BufferLimits {
    /** The share of the heap for requests, as a divisor. */
    private static final int REQUESTS_DIVISOR = 32;
    /** The share of the configured memory for values buffered whole, as a right shift: an eighth. */
    private static final int CONFIGURED_MEMORY_SHIFT = 3;

    private static final int MEBIBYTE_SHIFT = 20;

    private final ByteBudget values;
    private final ConnectionMemory connections;

    /** {@code memoryMb}: the memory configured for the process, in mebibytes. */
    BufferLimits(int memoryMb) {
        long configured = (long) memoryMb << MEBIBYTE_SHIFT >> CONFIGURED_MEMORY_SHIFT;
        DirectMemoryPlan direct = DirectMemoryPlan.of(PlatformDependent.maxDirectMemory());
        values = new ByteBudget(Math.min(configured, direct.sharedBytes()));
        connections = new ConnectionMemory(
                Runtime.getRuntime().maxMemory() / REQUESTS_DIVISOR,
                direct.connectionsBytes(),
                values,
                new ReadAheadBudget(direct.sharedReadAheadBytes(), direct.ownReadAheadBytes()));
    }

    /** The budget for values that are buffered whole and for responses to pipelined requests. */
    public ByteBudget values() {
        return values;
    }

    /** The memory of client connections. */
    public ConnectionMemory connections() {
        return connections;
    }
}
