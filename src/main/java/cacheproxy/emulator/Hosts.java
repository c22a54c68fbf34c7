package cacheproxy.emulator;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Loopback addresses for the emulated proxy machines. On a shared address the kernel may assign the port of a killed
 * proxy to another outgoing connection, and the proxy can't bind to it when it restarts.
 */
final class Hosts {
    private static final AtomicInteger NEXT = new AtomicInteger();

    private Hosts() {}

    /** Allocates the number of a new fleet in this process. */
    static int next() {
        return NEXT.getAndIncrement();
    }

    /** The address of a proxy; derived from the process id so that it rarely collides with other processes' fleets. */
    static InetAddress of(int fleet, int proxy) {
        int own = (int) ProcessHandle.current().pid() * 31 + fleet;
        try {
            return InetAddress.getByAddress(
                    new byte[] {127, (byte) (1 + (own >> 8 & 0x7f)), (byte) own, (byte) (proxy + 1)});
        } catch (UnknownHostException e) {
            throw new IllegalStateException(e); // unreachable: four bytes are always a valid address
        }
    }
}
