package cacheproxy.emulator;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Loopback addresses for the machines that proxies stand for. On an address that all share, the system gives the port
 * of a proxy that was killed to whoever connects next, and the proxy can't listen there when it starts again.
 */
final class Hosts {
    private static final AtomicInteger NEXT = new AtomicInteger();

    private Hosts() {}

    /** A number for one more fleet of this process. */
    static int next() {
        return NEXT.getAndIncrement();
    }

    /** The address of one proxy of one fleet, apart from those of other processes' fleets as far as can be. */
    static InetAddress of(int fleet, int proxy) {
        int own = (int) ProcessHandle.current().pid() * 31 + fleet;
        try {
            return InetAddress.getByAddress(
                    new byte[] {127, (byte) (1 + (own >> 8 & 0x7f)), (byte) own, (byte) (proxy + 1)});
        } catch (UnknownHostException e) {
            throw new IllegalStateException(e); // four bytes are an address
        }
    }
}
