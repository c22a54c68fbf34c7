package cacheproxy.proxy.lifecycle;

import cacheproxy.proxy.Config;
import cacheproxy.proxy.Dispatcher;
import cacheproxy.proxy.discovery.DiscoveryClient;
import cacheproxy.route.Routing;
import io.netty.channel.EventLoop;

/**
 * Holds the current configuration and replaces it while the instance serves. A reload reads the configuration file and
 * the routes and is atomic: if any part of it is invalid, nothing changes.
 */
final class ConfigReloader {
    private final RouteSource routes;
    private final EventLoop loop;
    private final Dispatcher dispatcher;
    private final DiscoveryClient discovery;
    /** Written by the thread that handles a signal and read by others. */
    private volatile Config config;

    /** Starts with this configuration; {@code routes}: null for none. */
    ConfigReloader(
            Config config, RouteSource routes, EventLoop loop, Dispatcher dispatcher, DiscoveryClient discovery) {
        this.config = config;
        this.routes = routes;
        this.loop = loop;
        this.dispatcher = dispatcher;
        this.discovery = discovery;
    }

    /** The last accepted configuration, which the event loop applies soon after. On any thread. */
    Config config() {
        return config;
    }

    /**
     * Reloads from this file. Reads it on the calling thread and applies it on the event loop. Synchronized, as each
     * signal is handled on its own thread and the configuration that was read last must be the one in force.
     */
    synchronized void reload(String file) {
        try {
            Config next = config.reread(file);
            Routing routing = routes == null ? null : routes.read(next.routableNames());
            config = next;
            loop.execute(() -> apply(next, routing));
        } catch (IllegalArgumentException e) {
            loop.execute(() -> reject(e));
        }
    }

    private void apply(Config next, Routing routing) {
        dispatcher.applySettings(next);
        discovery.updateSettings(next.discoverySettings());
        if (routing != null) {
            dispatcher.replaceRoutes(routing);
        }
        dispatcher.counters().recordReload(true);
    }

    private void reject(IllegalArgumentException cause) {
        dispatcher.log("reload rejected, keeping the current settings: " + cause.getMessage());
        dispatcher.counters().recordReload(false);
    }
}
