package cacheproxy.cli;

import java.net.InetSocketAddress;
import picocli.CommandLine.TypeConversionException;

/** A HOST:PORT argument. */
record Target(InetSocketAddress address) {
    static Target parse(String text) {
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            InetSocketAddress address = new InetSocketAddress(text.substring(0, Math.max(0, colon)), port);
            if (colon > 0 && port > 0 && !address.isUnresolved()) {
                return new Target(address);
            }
        } catch (IllegalArgumentException e) {
            // reported below
        }
        throw new TypeConversionException("'" + text + "' is no address; it reads HOST:PORT, as in 127.0.0.1:11211");
    }
}
