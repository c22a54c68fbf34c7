package cacheproxy.proxy.discovery;

import cacheproxy.endpoints.CancelPoll;
import cacheproxy.endpoints.EndpointListPoller;
import cacheproxy.endpoints.PollAction;
import cacheproxy.endpoints.PollFailure;
import cacheproxy.endpoints.PollerSettings;
import cacheproxy.endpoints.StartPoll;
import cacheproxy.metrics.LogMessage;
import cacheproxy.proxy.transport.InputBarrier;
import cacheproxy.proxy.transport.InputTurns;
import cacheproxy.routing.EndpointUpdateKind;
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
import java.util.List;
import java.util.Map;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;

/**
 * Follows discovery's endpoint list: sends the polls that {@link EndpointListPoller} decides on, passes their responses
 * to a {@link Listener} and holds the list in use. All methods and callbacks run on the event loop.
 */
public final class DiscoveryClient implements EndpointListSource {
    /** Applies the list, and is notified of polls. */
    public interface Listener {
        /**
         * Receives the list from before the start ({@code CACHED}), a complete list, or the changes up to a version.
         * Throws any exception if it can't apply them; a snapshot is requested then.
         */
        void onEndpoints(EndpointUpdateKind kind, long version, List<DiscoveredEndpoint> endpoints);

        /** A poll is about to be sent. */
        void onPollStarted();

        /** A poll has failed or was cancelled; {@code message} is for the log. */
        void onPollFailed(LogMessage message);

        /** An entry of the list was ignored; {@code message} is for the log. */
        void onEntryRejected(LogMessage message);
    }

    /**
     * The configuration of discovery.
     *
     * @param address where discovery listens
     * @param codec decodes its lists
     * @param seed different from that of any other instance, so that the instances do not poll at the same time
     * @param polling when discovery is polled
     */
    public record Settings(InetSocketAddress address, EndpointListCodec codec, long seed, PollerSettings polling) {}

    private static final int CONNECT_TIMEOUT_MS = 1000;
    private static final double MICROS_PER_MS = 1000;

    private record PendingPoll(StartPoll poll, DiscoveryConnection connection) {
        int id() {
            return poll.id();
        }
    }

    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private final InputTurns turns;
    private final Listener listener;
    private final DoubleSupplier nowMs;
    private final EndpointListPoller poller;
    private final EndpointListCache cache = new EndpointListCache();
    private final Map<Integer, PendingPoll> pendingPolls = new HashMap<>();
    private final List<DiscoveryConnection> idleConnections = new ArrayList<>();

    private Settings settings;
    private double lastResponseMs = Double.NaN;
    private Future<?> timer;

    /**
     * Creates a client that sends nothing before {@link #start}.
     *
     * @param bootstrap for connections on this event loop
     * @param turns in which their input is handled
     * @param nowMs a monotonic clock, in milliseconds
     */
    public DiscoveryClient(
            EventLoop loop,
            Bootstrap bootstrap,
            InputTurns turns,
            Settings settings,
            Listener listener,
            DoubleSupplier nowMs) {
        this.loop = loop;
        this.turns = turns;
        this.bootstrap = bootstrap.clone().option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS);
        this.settings = settings;
        this.listener = listener;
        this.nowMs = nowMs;
        poller = new EndpointListPoller(settings.polling(), settings.seed());
    }

    /**
     * Applies new settings. If the address has changed, polls of the old address are cancelled and a watch of the new
     * one starts at once, even if none was active before, as a change must be in use soon after the new discovery has
     * it.
     */
    public void updateSettings(Settings next) {
        boolean replaced = !next.address().equals(settings.address());
        settings = next;
        poller.updateSettings(next.polling());
        if (replaced) {
            cache.onDiscoveryReplaced();
            carryOut(poller.stop());
            closeIdleConnections();
            setWatch(true);
        }
    }

    /**
     * Passes a list from before the start to the listener, in place of any list held so far. Starts to watch, unless
     * one discovery serves all instances: the load balancer decides when, so that a starting fleet does not overload
     * it.
     *
     * @param list in discovery's JSON; null if there is none
     */
    public void start(JsonObject list) {
        List<DiscoveredEndpoint> known = List.of();
        cache.clear();
        if (list != null) {
            try {
                DecodedList decoded = settings.codec().decode(list);
                reportErrors("configuration", decoded.errors());
                known = decoded.endpoints();
                cache.restore(decoded);
            } catch (JsonParseException e) {
                reportErrors("configuration", List.of(e.getMessage()));
            }
        }
        listener.onEndpoints(EndpointUpdateKind.CACHED, cache.version(), known);
        if (!settings.polling().sharedDiscovery()) {
            setWatch(true);
        }
    }

    @Override
    public void setWatch(boolean on) {
        carryOut(on ? poller.start(nowMs.getAsDouble()) : poller.stop());
    }

    @Override
    public void fetchSnapshot() {
        cache.requireSnapshot();
        setWatch(true);
    }

    /** The version of the list in use; 0 if there is none. */
    public long version() {
        return cache.version();
    }

    /** The complete list in use, in discovery's JSON. */
    public JsonObject snapshot() {
        return cache.snapshot();
    }

    /** When a poll was last answered, with or without changes, by {@code nowMs}; NaN if none was. */
    public double lastResponseMs() {
        return lastResponseMs;
    }

    /** A peer has a newer version than this instance. */
    public void onPeerAhead() {
        carryOut(poller.onPeerAhead(nowMs.getAsDouble()));
    }

    private void carryOut(List<PollAction> actions) {
        for (PollAction action : actions) {
            if (action instanceof StartPoll start) {
                send(start);
            } else if (action instanceof CancelPoll cancel) {
                cancel(cancel.id());
            }
        }
        setTimer();
    }

    private void setTimer() {
        if (timer != null) {
            timer.cancel(false);
        }
        double timerMs = poller.nextTimerMs();
        if (timerMs != Double.POSITIVE_INFINITY) {
            long micros = (long) Math.ceil(MICROS_PER_MS * Math.max(0, timerMs - nowMs.getAsDouble()));
            // A response that has arrived is read before its poll can time out.
            timer = loop.schedule(
                    () -> InputBarrier.afterInput(loop, this::timerExpired), micros, TimeUnit.MICROSECONDS);
        }
    }

    private void timerExpired() {
        carryOut(poller.onTimer(nowMs.getAsDouble()));
    }

    private void cancel(int id) {
        PendingPoll pending = pendingPolls.remove(id);
        pending.connection().close();
        listener.onPollFailed(describe("poll cancelled", pending));
    }

    private void send(StartPoll poll) {
        listener.onPollStarted();
        if (poll.newConnection()) {
            closeIdleConnections();
        }
        DiscoveryConnection connection = idleConnections.isEmpty()
                ? new DiscoveryConnection(loop, bootstrap, turns, settings.address())
                : idleConnections.remove(idleConnections.size() - 1);
        PendingPoll pending = new PendingPoll(poll, connection);
        pendingPolls.put(poll.id(), pending);
        connection.send(DiscoveryRequests.uri(poll, cache.pollAfterVersion()), new PollHandler(pending));
    }

    private void closeIdleConnections() {
        idleConnections.forEach(DiscoveryConnection::close);
        idleConnections.clear();
    }

    /** Handles the response to one poll. */
    private final class PollHandler implements DiscoveryConnection.ResponseHandler {
        private final PendingPoll pending;

        PollHandler(PendingPoll pending) {
            this.pending = pending;
        }

        @Override
        public void onResponseStarted() {
            carryOut(poller.onResponseStarted(nowMs.getAsDouble(), pending.id()));
        }

        @Override
        public void onResponse(String body) {
            pendingPolls.remove(pending.id());
            if (pending.connection().isActive()) {
                idleConnections.add(pending.connection());
            }
            answered(pending, body);
        }

        @Override
        public void onRejected(String reason) {
            pendingPolls.remove(pending.id());
            failed(pending, PollFailure.REJECTED, reason);
        }

        @Override
        public void onBroken(String reason) {
            pendingPolls.remove(pending.id());
            failed(pending, PollFailure.BROKEN, reason);
        }
    }

    private void answered(PendingPoll poll, String body) {
        boolean newVersion;
        try {
            newVersion = apply(JsonParser.parseString(body));
        } catch (
                RuntimeException
                        e) { // also those of the listener, which throws any exception if it can't apply the list
            closeIdleConnections(); // the rest of the malformed response may follow on them
            failed(poll, PollFailure.BROKEN, e.getMessage());
            return;
        }
        lastResponseMs = nowMs.getAsDouble();
        carryOut(poller.onResponse(lastResponseMs, poll.id(), newVersion));
    }

    private void failed(PendingPoll poll, PollFailure failure, String reason) {
        listener.onPollFailed(describe("poll failed", poll).with("cause", reason));
        carryOut(poller.onFailure(nowMs.getAsDouble(), poll.id(), failure));
    }

    private static LogMessage describe(String event, PendingPoll pending) {
        return LogMessage.of(event)
                .with("poll", pending.poll().kind().logName())
                .with("id", pending.id())
                .with("peer", Addresses.text(pending.connection().address()));
    }

    private void reportErrors(String source, List<String> errors) {
        for (String error : errors) {
            listener.onEntryRejected(
                    LogMessage.of("entry left out").with("source", source).with("cause", error));
        }
    }

    /**
     * Applies a response.
     *
     * @return whether its version is higher than all earlier ones
     * @throws RuntimeException if it can't be decoded, the listener can't apply it, or some of its entries are invalid
     */
    private boolean apply(JsonElement json) {
        DecodedList list = settings.codec().decode(json);
        if (!cache.isUpdatedBy(list)) {
            cache.requireSnapshot();
            throw new InvalidEndpointListException(
                    "changes up to version " + list.version() + ", expected a complete list");
        }
        try {
            listener.onEndpoints(
                    list.snapshot() ? EndpointUpdateKind.SNAPSHOT : EndpointUpdateKind.DELTA,
                    list.version(),
                    cache.merged(settings.codec(), list));
        } catch (RuntimeException e) {
            cache.requireSnapshot();
            throw e;
        }
        cache.store(list);
        if (!list.errors().isEmpty()) {
            reportErrors("discovery", list.errors());
            throw new InvalidEndpointListException(list.errors().size() + " invalid entries");
        }
        return cache.confirm(list.version());
    }
}
