package cacheproxy.proxy.discovery;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.UnknownHostException;

/**
 * Addresses in the text form of the configuration and of discovery: {@code IP:PORT}, the IP a literal, as there is no
 * DNS.
 */
public final class Addresses {
    private Addresses() {}

    /**
     * Reads an address.
     *
     * @throws InvalidAddressException if it has no literal IP, or no port from 0 to 65,535
     */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        byte[] ip = colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
        try {
            if (ip != null) {
                return new InetSocketAddress(InetAddress.getByAddress(ip), Integer.parseInt(text.substring(colon + 1)));
            }
        } catch (UnknownHostException | IllegalArgumentException e) {
            // Reported below, in the same words as a text without a colon.
        }
        throw new InvalidAddressException(text);
    }

    /** Writes an address in the same form; one that is no IP address, in a form of its own. */
    public static String text(SocketAddress address) {
        return address instanceof InetSocketAddress i
                ? i.getAddress().getHostAddress() + ":" + i.getPort()
                : address.toString();
    }
}
