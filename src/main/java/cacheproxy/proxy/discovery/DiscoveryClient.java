package cacheproxy.proxy.discovery;

import cacheproxy.endpoints.CancelPoll;
import cacheproxy.endpoints.EndpointListPoller;
import cacheproxy.endpoints.PollAction;
import cacheproxy.endpoints.PollFailure;
import cacheproxy.endpoints.PollKind;
import cacheproxy.endpoints.PollerSettings;
import cacheproxy.endpoints.StartPoll;
import cacheproxy.routing.EndpointUpdateKind;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Map.Entry;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;

/**
 * Follows discovery's list of servers, and holds it as it was told last. Carries out what {@link EndpointListPoller}
 * orders. The version that is asked for moves on only once an answer is in use everywhere. On the event loop only.
 */
public final class DiscoveryClient implements EndpointListSource {
    /** What is done with the news. */
    public interface Listener {
        /**
         * The list that this proxy starts with, or what discovery has told: all of it or changes up to this version.
         * What can't be used throws, and is asked for anew, whole.
         */
        void onEndpoints(EndpointUpdateKind kind, long version, List<DiscoveredEndpoint> hosts);

        /** Discovery is being asked. */
        void onPollStarted();

        /** A call has failed: why, in words for people. */
        void onPollFailed(String why);

        /** Something of an answer was left out: what, in words for people. */
        void onEntryRejected(String what);
    }

    /**
     * What the configuration says of discovery.
     *
     * @param address where it listens
     * @param codec what entries of its list may name
     * @param seed apart from that of other instances, so that they do not call at once
     * @param polling what decides which calls are made
     */
    public record Settings(InetSocketAddress address, EndpointListCodec codec, long seed, PollerSettings polling) {}

    private static final int CONNECT_MS = 1000;

    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private final Listener listener;
    private final DoubleSupplier nowMs;
    private final EndpointListPoller calls;
    private final Map<Integer, DiscoveryConnection> out = new HashMap<>();
    private final List<DiscoveryConnection> kept = new ArrayList<>();
    /** The entries of the list as discovery words them, by their hosts' names. */
    private final Map<String, JsonObject> entries = new LinkedHashMap<>();

    private Settings settings;
    /** The version that is held; all changes up to it are in use. */
    private long version;
    /** The highest that this discovery has told. */
    private long highest;
    /** Whether the next call has to bring the whole list, as what is held can't be built on. */
    private boolean needsAll;

    private double lastResponseMs = Double.NaN;
    private Future<?> timer;

    /** Calls nobody yet. {@code bootstrap}: for connections on this event loop; {@code nowMs}: a monotonic clock. */
    public DiscoveryClient(
            EventLoop loop, Bootstrap bootstrap, Settings settings, Listener listener, DoubleSupplier nowMs) {
        this.loop = loop;
        this.bootstrap = bootstrap.clone().option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS);
        this.settings = settings;
        this.listener = listener;
        this.nowMs = nowMs;
        calls = new EndpointListPoller(settings.polling(), settings.seed());
    }

    /**
     * Goes on by another configuration. Where its address is another, what waits at the old one is asked again there,
     * and where nothing does, a watch begins: what the new one has to tell counts as told soon, whenever the module
     * would have asked next.
     */
    public void updateSettings(Settings next) {
        boolean moved = !next.address().equals(settings.address());
        settings = next;
        calls.updateSettings(next.polling());
        if (moved) {
            highest = 0;
            carryOut(calls.stop());
            kept.forEach(DiscoveryConnection::close);
            kept.clear();
            setWatch(true);
        }
    }

    /**
     * Hands over the list as it was last had, in place of whatever is held, and where lists are pushed begins to follow
     * it.
     *
     * @param list in discovery's form; null if there is none
     */
    public void start(JsonObject list) {
        List<DiscoveredEndpoint> known = List.of();
        entries.clear();
        version = 0;
        if (list != null) {
            try {
                EndpointListCodec.DecodedList read = settings.codec().decode(list);
                read.errors().forEach(listener::onEntryRejected);
                known = read.endpoints();
                version = read.version();
                keep(read);
            } catch (JsonParseException e) {
                listener.onEntryRejected("the list in the configuration: " + e.getMessage());
            }
        }
        listener.onEndpoints(EndpointUpdateKind.CACHED, version, known);
        if (!settings.polling().sharedDiscovery()) {
            setWatch(true);
        }
    }

    @Override
    public void setWatch(boolean on) {
        carryOut(on ? calls.start(nowMs.getAsDouble()) : calls.stop());
    }

    @Override
    public void fetchSnapshot() {
        needsAll = true;
        setWatch(true);
    }

    /** The version of the list that is held. */
    public long version() {
        return version;
    }

    /** When discovery last answered, with or without news; NaN: not yet. */
    public double lastResponseMs() {
        return lastResponseMs;
    }

    /** A peer has been told of a version that this proxy has not. */
    public void onPeerAhead() {
        carryOut(calls.onPeerAhead(nowMs.getAsDouble()));
    }

    private void carryOut(List<PollAction> orders) {
        for (PollAction order : orders) {
            if (order instanceof StartPoll begin) {
                begin(begin);
            } else if (order instanceof CancelPoll giveUp) {
                out.remove(giveUp.id()).close();
                listener.onPollFailed("given up");
            }
        }
        if (timer != null) {
            timer.cancel(false);
        }
        double due = calls.nextTimerMs();
        if (due != Double.POSITIVE_INFINITY) {
            long micros = (long) Math.ceil(1000 * Math.max(0, due - nowMs.getAsDouble()));
            timer = loop.schedule(() -> carryOut(calls.onTimer(nowMs.getAsDouble())), micros, TimeUnit.MICROSECONDS);
        }
    }

    private void begin(StartPoll call) {
        listener.onPollStarted();
        if (call.newConnection()) {
            kept.forEach(DiscoveryConnection::close);
            kept.clear();
        }
        DiscoveryConnection connection = kept.isEmpty()
                ? new DiscoveryConnection(loop, bootstrap, settings.address())
                : kept.remove(kept.size() - 1);
        out.put(call.id(), connection);
        connection.send(path(call), new DiscoveryConnection.ResponseHandler() {
            @Override
            public void onResponseStarted() {
                carryOut(calls.onResponseStarted(nowMs.getAsDouble(), call.id()));
            }

            @Override
            public void onResponse(String body) {
                out.remove(call.id());
                if (connection.isActive()) {
                    kept.add(connection);
                }
                answered(call, body);
            }

            @Override
            public void onRejected(String why) {
                out.remove(call.id());
                failed(call, PollFailure.REJECTED, why);
            }

            @Override
            public void onBroken(String why) {
                out.remove(call.id());
                failed(call, PollFailure.BROKEN, why);
            }
        });
    }

    private String path(StartPoll call) {
        if (call.kind() == PollKind.SNAPSHOT) {
            return "/discovery/hosts";
        }
        return "/discovery/hosts?since=" + (needsAll ? 0 : version) + "&timeout_ms=" + (int) call.waitMs();
    }

    private void answered(StartPoll call, String body) {
        boolean news;
        try {
            news = apply(JsonParser.parseString(body));
        } catch (RuntimeException e) {
            kept.forEach(DiscoveryConnection::close); // what follows on it may be the rest of what can't be read
            kept.clear();
            failed(call, PollFailure.BROKEN, e.getMessage());
            return;
        }
        lastResponseMs = nowMs.getAsDouble();
        carryOut(calls.onResponse(lastResponseMs, call.id(), news));
    }

    private void failed(StartPoll call, PollFailure failure, String why) {
        listener.onPollFailed(call.kind().logName() + ": " + why);
        carryOut(calls.onFailure(nowMs.getAsDouble(), call.id(), failure));
    }

    /** Takes an answer into use; whether it is newer than all before. What can't be used throws. */
    private boolean apply(JsonElement json) {
        EndpointListCodec.DecodedList read = settings.codec().decode(json);
        if (!read.snapshot() && (read.version() < version || needsAll)) {
            // It numbers anew, as one that has moved or lost its memory may, or what is held can't be built on.
            needsAll = true;
            throw new JsonParseException("changes up to " + read.version() + ", where all is needed");
        }
        try {
            listener.onEndpoints(
                    read.snapshot() ? EndpointUpdateKind.SNAPSHOT : EndpointUpdateKind.DELTA,
                    read.version(),
                    hosts(read));
        } catch (RuntimeException e) {
            needsAll = true;
            throw e;
        }
        keep(read);
        if (!read.errors().isEmpty()) {
            read.errors().forEach(listener::onEntryRejected);
            throw new JsonParseException(read.errors().size() + " entries that can't be used");
        }
        needsAll = false;
        version = read.version();
        boolean news = version > highest;
        highest = Math.max(highest, version);
        return news;
    }

    /** What it names, and of a whole list also what is held of servers whose entries can't be used. */
    private List<DiscoveredEndpoint> hosts(EndpointListCodec.DecodedList read) {
        if (!read.snapshot() || read.errors().isEmpty()) {
            return read.endpoints();
        }
        List<DiscoveredEndpoint> hosts = new ArrayList<>(read.endpoints());
        JsonArray held = new JsonArray();
        for (Entry<String, JsonObject> entry : entries.entrySet()) {
            if (read.rejectedHosts().contains(entry.getKey())) {
                held.add(entry.getValue());
            }
        }
        hosts.addAll(settings.codec().decode(snapshot(version, held)).endpoints());
        return hosts;
    }

    private void keep(EndpointListCodec.DecodedList read) {
        if (read.snapshot()) {
            entries.keySet().removeIf(name -> !read.rejectedHosts().contains(name));
        }
        read.rawEntries().forEach((name, entry) -> {
            if (entry.get("health").getAsString().equals("removed")) {
                entries.remove(name);
            } else {
                entries.put(name, entry);
            }
        });
    }

    /** The whole list as it is held now, in discovery's form. */
    public JsonObject snapshot() {
        JsonArray hosts = new JsonArray();
        entries.values().forEach(hosts::add);
        return snapshot(version, hosts);
    }

    private static JsonObject snapshot(long version, JsonArray hosts) {
        JsonObject list = new JsonObject();
        list.addProperty("seq", version);
        list.addProperty("whole", true);
        list.add("hosts", hosts);
        return list;
    }
}
