package cacheproxy.proxy;

import cacheproxy.flow.ByteBudget;
import cacheproxy.flow.ReadAheadBudget;
import io.netty.util.internal.PlatformDependent;

/** Limits the direct memory that values and input read ahead of clients may take. Event loop only. */
public final class BufferLimits {
    /** Complete values may take one part in so many of the direct memory; the rest is for what passes through. */
    private static final int VALUES_DIVISOR = 2;
    /** Input read ahead may take one part in so many, beside what each connection has of its own. */
    private static final int READ_AHEAD_DIVISOR = 16;
    /** Complete values may take one part in so many of the configured memory, as a shift. */
    private static final int CONFIGURED_MEMORY_SHIFT = 3;

    private static final int MEBIBYTE_SHIFT = 20;

    private final ByteBudget values;
    private final ReadAheadBudget readAhead =
            new ReadAheadBudget(PlatformDependent.maxDirectMemory() / READ_AHEAD_DIVISOR);

    /** {@code memoryMb}: the memory configured for the process, in mebibytes. */
    BufferLimits(int memoryMb) {
        long configured = (long) memoryMb << MEBIBYTE_SHIFT >> CONFIGURED_MEMORY_SHIFT;
        values = new ByteBudget(Math.min(configured, PlatformDependent.maxDirectMemory() / VALUES_DIVISOR));
    }

    /** The budget for values that are held completely. */
    public ByteBudget values() {
        return values;
    }

    /** The limit of what may be read of clients before it can be decoded. */
    public ReadAheadBudget readAhead() {
        return readAhead;
    }
}
