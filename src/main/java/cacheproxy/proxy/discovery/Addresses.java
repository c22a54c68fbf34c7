package cacheproxy.proxy.discovery;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.UnknownHostException;

/**
 * Parses and formats addresses as the configuration and discovery write them: {@code IP:PORT}. The IP is a literal, as
 * names are not resolved.
 */
public final class Addresses {
    private Addresses() {}

    /**
     * Parses an address.
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
            // Reported below, as is a text without a colon.
        }
        throw new InvalidAddressException(text);
    }

    /** Formats an IP address the same way, and any other address by its {@code toString}. */
    public static String text(SocketAddress address) {
        return address instanceof InetSocketAddress i
                ? i.getAddress().getHostAddress() + ":" + i.getPort()
                : address.toString();
    }
}
