package damsonworks.proxy.discovery;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import damsonworks.RoutingApi.ListKind;
import damsonworks.proxy.transport.Connecting;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Asks discovery for the list of servers, by a watch and by single calls, and holds it as it was told last. A call that
 * fails is told as such: when to ask again is for whoever decides. On the event loop only.
 */
public final class DiscoveryClient implements ListSource {
    /** What is done with the news. */
    public interface Listener {
        /** The list or changes of it; {@code FAILED}: a call for it failed, no entries. */
        void listed(ListKind kind, List<Host> hosts);

        /** Discovery is being asked. */
        void called();

        /** Discovery has told this version of the list, which follows. */
        void version(long seq);

        /** The list that is handed over next has this version, which discovery has not told this proxy by itself. */
        default void begin(long seq) {}

        /** A line for the operators. */
        void log(String line);
    }

    /**
     * What the configuration says of discovery.
     *
     * @param address where it listens
     * @param form what entries of its list may name
     * @param seed apart from that of other instances, so that they do not call at once
     * @param ask whether it is one service for all instances, which is asked when the decision module wants to; else
     *     lists are pushed, and a watch that has ended is begun again at once
     */
    public record Settings(InetSocketAddress address, ListForm form, long seed, boolean ask) {}

    /**
     * How long a watch may wait, give or take a tenth. Whatever call failed or fell silent, what discovery has counts
     * as told 6 s after it could be asked, and a silent watch hides that until it is given up. A watch that goes on
     * after an end with nothing to tell is no new one to discovery, and carries no entries.
     */
    private static final int WAIT_MS = 1600;
    /**
     * How much longer than its wait a call may take before it counts as failed. With the shortest wait that is over the
     * 3 s after which discovery turns away calls that stand in its line; less would lose the place in it each time.
     */
    private static final int PATIENCE_MS = 1600;
    /**
     * The same for a watch that goes on: it stands in no line, and discovery answers it within some hundredths of a
     * second after its wait. One that has fallen silent is begun anew the sooner.
     */
    private static final int CONTINUED_PATIENCE_MS = 1000;
    /** The same where lists are pushed: the agent has no line. */
    private static final int AGENT_PATIENCE_MS = 500;

    private static final int CONNECT_MS = 1000;
    /** Where lists are pushed, a watch that has ended is begun again after this time. */
    private static final int AGAIN_MS = 250;

    private static final int MAX_LIST = 4 << 20;

    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private final Listener listener;
    private final SplittableRandom random;
    private final Line watchLine = new Line();
    private final Line listLine = new Line();
    /** The entries of the list as discovery words them, by their hosts' names. */
    private final Map<String, JsonObject> entries = new LinkedHashMap<>();

    private Settings settings;
    private long version;
    private boolean watching;

    /** Calls nobody yet. {@code bootstrap}: for connections on this event loop. */
    public DiscoveryClient(EventLoop loop, Bootstrap bootstrap, Settings settings, Listener listener) {
        this.loop = loop;
        this.bootstrap = bootstrap.clone().option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS);
        this.settings = settings;
        this.listener = listener;
        random = new SplittableRandom(settings.seed());
    }

    /**
     * Goes on by another configuration. Where its address is another, what waits at the old one is asked again there,
     * and where nothing does, a watch begins: what the new one has to tell counts as told soon, whenever the module
     * would have asked next.
     */
    public void settle(Settings next) {
        boolean moved = !next.address().equals(settings.address());
        settings = next;
        if (!moved) {
            return;
        }
        boolean fetching = listLine.waiting();
        watchLine.close();
        listLine.close();
        watch(true);
        if (fetching) {
            fetch();
        }
    }

    /**
     * Hands over the list as it was last had, in place of whatever is held, and where lists are pushed begins to follow
     * it.
     *
     * @param list in discovery's form; null if there is none
     */
    public void start(JsonObject list) {
        List<Host> known = List.of();
        entries.clear();
        version = 0;
        if (list != null) {
            try {
                known = settings.form().hosts(list);
                version = seq(list);
                keep(list);
            } catch (RuntimeException e) {
                listener.log("the list in the configuration is of no use: " + e.getMessage());
            }
        }
        listener.begin(version);
        listener.listed(ListKind.CACHED, known);
        if (!settings.ask()) {
            watch(true);
        }
    }

    @Override
    public void watch(boolean on) {
        watching = on;
        if (on) {
            callWatch(PATIENCE_MS);
        } else {
            watchLine.close();
        }
    }

    private void callWatch(int serviceMs) {
        int wait = (int) (WAIT_MS * (0.9 + 0.2 * random.nextDouble())); // or those of all proxies end together
        watchLine.call(
                "/discovery/hosts?since=" + version + "&timeout_ms=" + wait,
                wait + patienceMs(serviceMs),
                this::watched);
    }

    /** How much longer than its wait a call may take; {@code serviceMs}: where one discovery serves all instances. */
    private int patienceMs(int serviceMs) {
        return settings.ask() ? serviceMs : AGENT_PATIENCE_MS;
    }

    /** The version of the list that is held. */
    public long version() {
        return version;
    }

    /**
     * Begins the watch anew where there is one: it may have fallen silent. Only where lists are pushed, as the agent
     * takes any number of calls. Where discovery is one service, a call that is given up has lost its place in the
     * line, and a watch that goes on costs nothing where a new one costs as much as the whole list: a fleet whose
     * instances all give theirs up on a peer's word jams discovery for seconds. One that is silent ends by itself soon.
     */
    public void renew() {
        if (watching && !settings.ask()) {
            watch(true);
        }
    }

    /**
     * Where it fails beside a watch, the watch goes on: the decision module would give it up for a call that it is not.
     */
    @Override
    public void fetch() {
        listLine.call("/discovery/hosts", patienceMs(PATIENCE_MS), json -> {
            try {
                if (json == null || seq(json) < version) {
                    throw new IllegalArgumentException("no answer, or one that is older than the list held");
                }
                apply(json);
            } catch (RuntimeException e) {
                if (watching) {
                    listener.log("discovery: " + e.getMessage());
                } else {
                    failed(e);
                }
            }
        });
    }

    private void watched(JsonObject json) {
        if (!watching) {
            return;
        }
        try {
            if (json == null) {
                throw new IllegalArgumentException("no answer");
            }
            apply(json);
        } catch (RuntimeException e) {
            watching = false;
            if (settings.ask()) {
                failed(e);
            } else {
                loop.schedule(
                        () -> {
                            if (!watching) { // else it was moved meanwhile, and has begun there
                                watch(true);
                            }
                        },
                        AGAIN_MS,
                        TimeUnit.MILLISECONDS);
            }
            return;
        }
        if (watching) {
            callWatch(CONTINUED_PATIENCE_MS); // within 200 ms, or it is a new watch
        }
    }

    private void apply(JsonObject json) {
        List<Host> hosts = settings.form().hosts(json);
        boolean whole = json.get("whole").getAsBoolean();
        long seq = seq(json);
        if (!whole && seq < version) {
            // It numbers anew, as one that has moved or lost its memory may: what it has is asked for from the
            // beginning.
            long held = version;
            version = 0;
            throw new IllegalArgumentException("changes up to " + seq + " after " + held);
        }
        version = seq;
        keep(json);
        listener.version(seq);
        listener.listed(whole ? ListKind.FULL : ListKind.CHANGES, hosts);
    }

    private void keep(JsonObject json) {
        if (json.get("whole").getAsBoolean()) {
            entries.clear();
        }
        for (JsonElement e : json.getAsJsonArray("hosts")) {
            JsonObject host = e.getAsJsonObject();
            if (host.get("health").getAsString().equals("removed")) {
                entries.remove(host.get("host").getAsString());
            } else {
                entries.put(host.get("host").getAsString(), host);
            }
        }
    }

    /** The whole list as it is held now, in discovery's form. */
    public JsonObject list() {
        JsonArray hosts = new JsonArray();
        entries.values().forEach(hosts::add);
        JsonObject list = new JsonObject();
        list.addProperty("seq", version);
        list.addProperty("whole", true);
        list.add("hosts", hosts);
        return list;
    }

    private void failed(RuntimeException cause) {
        listener.log("discovery: " + cause.getMessage());
        listener.listed(ListKind.FAILED, List.of());
    }

    private static long seq(JsonObject json) {
        return json.get("seq").getAsLong();
    }

    /** A connection for one call at a time, kept between calls. */
    private final class Line {
        private Channel channel;
        private Consumer<JsonObject> waiting;
        private Future<?> timer;
        /** Connections that were made, or given up before they came up. */
        private int calls;

        /**
         * Calls; the consumer gets the answer, or null where there is none that can be used.
         *
         * @param withinMs after which it counts as failed
         */
        void call(String path, int withinMs, Consumer<JsonObject> then) {
            if (waiting != null) {
                close();
            }
            waiting = then;
            listener.called();
            timer = loop.schedule(() -> done(null), withinMs, TimeUnit.MILLISECONDS);
            if (channel != null && channel.isActive()) {
                write(channel, path);
                return;
            }
            ChannelFuture connecting = bootstrap
                    .clone()
                    .handler(new ChannelInitializer<>() {
                        @Override
                        protected void initChannel(Channel c) {
                            c.pipeline()
                                    .addLast(new HttpClientCodec(), new HttpObjectAggregator(MAX_LIST), new Answer());
                        }
                    })
                    .connect(settings.address());
            channel = Connecting.channel(connecting);
            int call = ++calls;
            Connecting.whenDone(loop, connecting, () -> {
                if (call != calls) {
                    return; // closed meanwhile; what waits now waits on another
                }
                if (connecting.isSuccess()) {
                    write(channel, path);
                } else {
                    done(null);
                }
            });
        }

        private void write(Channel to, String path) {
            DefaultFullHttpRequest request =
                    new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path, Unpooled.EMPTY_BUFFER);
            request.headers().set(HttpHeaderNames.HOST, Addresses.text(settings.address()));
            to.writeAndFlush(request);
        }

        boolean waiting() {
            return waiting != null;
        }

        void close() {
            waiting = null;
            calls++;
            if (timer != null) {
                timer.cancel(false);
            }
            if (channel != null) {
                channel.close();
                channel = null;
            }
        }

        private void done(JsonObject json) {
            Consumer<JsonObject> then = waiting;
            if (json == null) {
                close();
            }
            if (then != null) {
                waiting = null;
                timer.cancel(false);
                then.accept(json);
            }
        }

        private final class Answer extends SimpleChannelInboundHandler<FullHttpResponse> {
            @Override
            protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
                if (ctx.channel() != channel) {
                    return; // given up: its end brings out what had come of an answer, which is none to what waits now
                }
                JsonObject json = null;
                if (response.status().code() == 200 && response.decoderResult().isSuccess()) {
                    try {
                        json = JsonParser.parseString(response.content().toString(StandardCharsets.UTF_8))
                                .getAsJsonObject();
                    } catch (RuntimeException e) {
                        listener.log("discovery: no JSON");
                    }
                }
                if (!HttpUtil.isKeepAlive(response)) {
                    ctx.close();
                    channel = null;
                }
                done(json);
            }

            @Override
            public void channelInactive(ChannelHandlerContext ctx) {
                if (ctx.channel() == channel) {
                    done(null);
                }
            }

            @Override
            public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                ctx.close();
            }
        }
    }
}
