package damsonworks.proxy;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import damsonworks.RoutingApi.ListKind;
import damsonworks.RoutingApi.Member;
import damsonworks.RoutingApi.State;
import damsonworks.route.Pool;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
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
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.zip.CRC32;

final class DiscoveryClient implements Dispatcher.ListSource {
    private static final int WAIT_MS = 20_000;
    /** How much longer than its wait a call may take before it counts as failed. */
    private static final int PATIENCE_MS = 4000;
    private static final int CONNECT_MS = 1000;
    /** Where lists are pushed, a watch that has ended is begun again after this time. */
    private static final int AGAIN_MS = 250;
    private static final int MAX_LIST = 4 << 20;
    private static final int MAX_LABELS = 64;

    /** An entry of the list, for the module, for connections and for pools. */
    record Host(Member member, SocketAddress dial, Pool.Server server) { }

    private final EventLoop loop;
    private final Dispatcher dispatcher;
    private final Line watchLine = new Line();
    private final Line listLine = new Line();
    /** The entries of the list as discovery words them, by their hosts' names. */
    private final Map<String, JsonObject> entries = new LinkedHashMap<>();
    private Config config;
    private InetSocketAddress address;
    private long version;
    private boolean watching;

    DiscoveryClient(EventLoop loop, Config config, Dispatcher dispatcher) {
        this.loop = loop;
        this.config = config;
        this.dispatcher = dispatcher;
        address = config.discovery();
    }

    /**
     * Goes on by another configuration. Where its address is another, what waits at the old one is asked again there,
     * and where nothing does, a watch begins: what the new one has to tell counts as told soon, whenever the module
     * would have asked next.
     */
    void settle(Config next) {
        config = next;
        if (next.discovery().equals(address)) {
            return;
        }
        address = next.discovery();
        boolean fetching = listLine.waiting();
        watchLine.close();
        listLine.close();
        watch(true);
        if (fetching) {
            fetch();
        }
    }

    /**
     * Hands over the list as it was last had and, where lists are pushed, begins to follow it.
     *
     * @param list in discovery's form; null if there is none
     */
    void start(JsonObject list) {
        List<Host> known = List.of();
        if (list != null) {
            try {
                known = hosts(config, list);
                version = seq(list);
                keep(list);
            } catch (RuntimeException e) {
                dispatcher.log("the list in the configuration is of no use: " + e.getMessage());
            }
        }
        dispatcher.listed(ListKind.CACHED, known);
        if (!config.settings().askForList()) {
            watch(true);
        }
    }

    @Override
    public void watch(boolean on) {
        watching = on;
        if (on) {
            watchLine.call("/discovery/hosts?since=" + version + "&timeout_ms=" + WAIT_MS, WAIT_MS, this::watched);
        } else {
            watchLine.close();
        }
    }

    @Override
    public void fetch() {
        listLine.call("/discovery/hosts", 0, json -> {
            try {
                if (json == null || seq(json) < version) {
                    throw new IllegalArgumentException("no answer, or one that is older than the list held");
                }
                apply(json);
            } catch (RuntimeException e) {
                failed(e);
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
            if (config.settings().askForList()) {
                failed(e);
            } else {
                loop.schedule(() -> watch(true), AGAIN_MS, TimeUnit.MILLISECONDS);
            }
            return;
        }
        if (watching) {
            watch(true); // within 200 ms, or it is a new watch
        }
    }

    private void apply(JsonObject json) {
        List<Host> hosts = hosts(config, json);
        boolean whole = json.get("whole").getAsBoolean();
        long seq = seq(json);
        if (!whole && seq < version) {
            throw new IllegalArgumentException("changes up to " + seq + " after " + version);
        }
        version = seq;
        keep(json);
        dispatcher.listed(whole ? ListKind.FULL : ListKind.CHANGES, hosts);
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
    JsonObject list() {
        JsonArray hosts = new JsonArray();
        entries.values().forEach(hosts::add);
        JsonObject list = new JsonObject();
        list.addProperty("seq", version);
        list.addProperty("whole", true);
        list.add("hosts", hosts);
        return list;
    }

    private void failed(RuntimeException cause) {
        dispatcher.log("discovery: " + cause.getMessage());
        dispatcher.listed(ListKind.FAILED, List.of());
    }

    private static long seq(JsonObject json) {
        return json.get("seq").getAsLong();
    }

    /** The hosts of a list; an exception says what is wrong with one. */
    static List<Host> hosts(Config config, JsonObject json) {
        List<Host> hosts = new ArrayList<>();
        Set<Integer> ids = new HashSet<>();
        for (JsonElement e : json.getAsJsonArray("hosts")) {
            Host h = host(config, e.getAsJsonObject());
            if (!ids.add(h.member().id())) {
                throw new IllegalArgumentException("a host is listed twice");
            }
            hosts.add(h);
        }
        return hosts;
    }

    private static Host host(Config config, JsonObject h) {
        String name = h.get("host").getAsString();
        State state = switch (h.get("health").getAsString()) {
            case "up" -> State.READY;
            case "draining" -> State.DRAINING;
            case "removed" -> State.GONE;
            default -> throw new IllegalArgumentException("host " + name + ": unknown health");
        };
        int zone = config.zones().indexOf(Config.word(h.get("site").getAsString()));
        int kind = config.kinds().indexOf(Config.word(h.get("class").getAsString()));
        float weight = h.has("share") ? h.get("share").getAsFloat() : 1;
        if (zone < 0 || kind < 0 || !(weight >= 0) || Float.isInfinite(weight)) {
            throw new IllegalArgumentException("host " + name + ": unknown site or class, or bad share");
        }
        double born = h.has("born_ms") ? h.get("born_ms").getAsDouble() : 0;
        int cell = h.has("block") ? h.get("block").getAsInt() : 0;
        return new Host(new Member(id(name), zone, kind, cell, state, weight, born),
                Config.address(h.get("dial").getAsString()),
                new Pool.Server(name, config.zones().get(zone), config.kinds().get(kind), labels(name, h)));
    }

    /** Words that installations may put on their servers for pools to select by; most have none. */
    private static Set<String> labels(String name, JsonObject h) {
        if (!h.has("labels")) {
            return Set.of();
        }
        Set<String> labels = new HashSet<>();
        h.getAsJsonArray("labels").forEach(l -> labels.add(l.getAsString()));
        if (labels.size() > MAX_LABELS) {
            throw new IllegalArgumentException("host " + name + ": more than " + MAX_LABELS + " labels");
        }
        return labels;
    }

    static int id(String name) {
        String digits = name.substring(name.lastIndexOf('-') + 1);
        try {
            if (digits.length() <= 8) {
                return Integer.parseUnsignedInt(digits, 16);
            }
        } catch (NumberFormatException e) {
            // not of that form
        }
        CRC32 sum = new CRC32();
        sum.update(name.getBytes(StandardCharsets.UTF_8));
        return (int) sum.getValue();
    }

    /** A connection for one call at a time, kept between calls. */
    private final class Line {
        private Channel channel;
        private Consumer<JsonObject> waiting;
        private Future<?> timer;

        /** Calls; the consumer gets the answer, or null where there is none that can be used. */
        void call(String path, int waitMs, Consumer<JsonObject> then) {
            if (waiting != null) {
                close();
            }
            waiting = then;
            timer = loop.schedule(() -> done(null), waitMs + PATIENCE_MS, TimeUnit.MILLISECONDS);
            if (channel != null && channel.isActive()) {
                write(channel, path);
                return;
            }
            ChannelFuture connecting = new Bootstrap().group(loop).channel(Transport.BEST.socket())
                    .option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                    .handler(new Initializer(new HttpClientCodec(), new HttpObjectAggregator(MAX_LIST), new Answer()))
                    .connect(address);
            channel = connecting.channel();
            connecting.addListener(f -> {
                if (connecting.channel() != channel) {
                    return; // closed meanwhile; what waits now waits on another
                }
                if (f.isSuccess()) {
                    write(channel, path);
                } else {
                    done(null);
                }
            });
        }

        private void write(Channel to, String path) {
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path,
                    Unpooled.EMPTY_BUFFER);
            request.headers().set(HttpHeaderNames.HOST, Config.text(address));
            to.writeAndFlush(request);
        }

        boolean waiting() {
            return waiting != null;
        }

        void close() {
            waiting = null;
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
                JsonObject json = null;
                if (response.status().code() == 200 && response.decoderResult().isSuccess()) {
                    try {
                        json = JsonParser.parseString(response.content().toString(StandardCharsets.UTF_8))
                                .getAsJsonObject();
                    } catch (RuntimeException e) {
                        dispatcher.log("discovery: no JSON");
                    }
                }
                if (!HttpUtil.isKeepAlive(response)) {
                    ctx.close();
                    channel = null;
                }
                if (ctx.channel() == channel || channel == null) {
                    done(json);
                }
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
