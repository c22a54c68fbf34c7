package cacheproxy.proxy.upstream;

import cacheproxy.proxy.discovery.DiscoveredEndpoint;
import cacheproxy.routing.Endpoint;
import cacheproxy.routing.EndpointLocation;
import cacheproxy.routing.EndpointState;
import io.netty.bootstrap.Bootstrap;
import java.net.SocketAddress;

/** A server of the endpoint list, as the list describes it, with the connections to it. Event loop only. */
public final class UpstreamServer {
    public final int id;
    public final boolean origin;
    public final ServerConnectionPool pool;
    SocketAddress address;
    /** When its process started, on the clock of the list, in milliseconds. */
    public double startTimeMs;
    /** The same on the clock of {@link UpstreamContext#now}; 0 if not known. */
    double localStartTimeMs;

    public EndpointLocation location;
    /** Whether it takes new requests. */
    public boolean ready;

    UpstreamServer(
            int id,
            boolean origin,
            UpstreamContext context,
            Bootstrap bootstrap,
            ConnectionLimits globalLimits,
            ServerConnectionPool.Limits limits,
            Runnable onConnectionRejected) {
        this.id = id;
        this.origin = origin;
        pool = new ServerConnectionPool(this, context, bootstrap, globalLimits, limits, onConnectionRejected);
    }

    /** Applies the list's current entry; connections to an earlier address or process are retired. */
    void update(DiscoveredEndpoint discovered) {
        Endpoint endpoint = discovered.endpoint();
        if (!discovered.address().equals(address) || startTimeMs != endpoint.startTimeMs()) {
            pool.retire();
        }
        address = discovered.address();
        startTimeMs = endpoint.startTimeMs();
        localStartTimeMs = endpoint.localStartTimeMs();
        location = new EndpointLocation(endpoint.zone(), endpoint.cell());
        ready = endpoint.state() == EndpointState.READY;
    }

    /** Called when the list no longer has it. */
    void removed() {
        ready = false;
        pool.retire();
    }

    /** When it is warmed up, on the clock of {@link UpstreamContext#now}; 0 if its start is not known. */
    double warmedUpAtMs(double warmUpMs) {
        return localStartTimeMs == 0 ? 0 : localStartTimeMs + warmUpMs;
    }
}
