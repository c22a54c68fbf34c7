package cacheproxy.emulator;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Emulated discovery: serves the whole host list and a watch on its changes over HTTP/1.1, with separate sockets for
 * each proxy, and emulates outages. Requests are served in sequence at a limited number of list entries per second.
 * Confined to the fleet's event loop.
 */
final class DiscoveryServer {
    /** Addresses per proxy; more than one, so that a new configuration can name another. */
    static final int ADDRESSES = 2;
    /** A request that would wait longer is rejected with 503. */
    private static final double MAX_QUEUE_DELAY_MS = 2000;

    private static final double MAX_WAIT_MS = 60_000;
    private static final int MAX_WATCHES = 256;
    /** While older lists are served: their share of the responses, and how many versions they lag behind. */
    private static final double OLDER_SHARE = 0.3;

    private static final int OLDER_VERSIONS = 5;

    private final class Watch {
        final int proxy;
        final ChannelHandlerContext ctx;
        final long since;
        Future<?> timeout;

        Watch(int proxy, ChannelHandlerContext ctx, long since) {
            this.proxy = proxy;
            this.ctx = ctx;
            this.since = since;
        }

        void end() {
            if (watches.remove(this)) {
                timeout.cancel(false);
                answer(proxy, ctx, hostList.since(since), false);
            }
        }
    }

    private final EmulatedFleet fleet;
    private final HostList hostList;
    private final Listener listener;
    private final List<Watch> watches = new ArrayList<>();
    private final Deque<Version> older = new ArrayDeque<>();
    private final SplittableRandom random;
    private boolean down;
    private boolean watchesSilent;
    private boolean olderLists;
    private double idleAtMs;

    /** A snapshot of the whole list. */
    private record Version(long seq, List<HostList.Host> hosts) {}

    DiscoveryServer(EmulatedFleet fleet, HostList hostList) {
        this.fleet = fleet;
        this.hostList = hostList;
        random = new SplittableRandom(fleet.spec().seed());
        listener = new Listener(fleet.loop(), ~fleet.spec().seed(), this::accepted);
        for (int i = 0; i < fleet.spec().proxies() * ADDRESSES; i++) {
            listener.bind();
        }
    }

    Listener listener() {
        return listener;
    }

    private void accepted(Channel channel, int socket) {
        int proxy = socket % fleet.spec().proxies();
        channel.pipeline()
                .addLast(
                        new HttpServerCodec(),
                        new HttpObjectAggregator(64 << 10),
                        new SimpleChannelInboundHandler<FullHttpRequest>() {
                            @Override
                            protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
                                handle(proxy, ctx, new QueryStringDecoder(request.uri()));
                            }

                            @Override
                            public void channelInactive(ChannelHandlerContext ctx) {
                                watches.removeIf(w -> w.ctx == ctx && w.timeout.cancel(false));
                            }

                            @Override
                            public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                                ctx.close();
                            }
                        });
    }

    private void handle(int proxy, ChannelHandlerContext ctx, QueryStringDecoder uri) {
        fleet.series().count(proxy, Series.What.CALLS);
        if (down) {
            ctx.close();
            return;
        }
        if (!uri.path().equals("/discovery/hosts")) {
            send(ctx, 404, "{}");
            return;
        }
        if (!uri.parameters().containsKey("since")) {
            answer(proxy, ctx, hostList.whole(), true);
            return;
        }
        long since;
        double wait;
        try {
            since = Long.parseLong(uri.parameters().get("since").get(0));
            wait = Math.min(
                    MAX_WAIT_MS,
                    Double.parseDouble(uri.parameters()
                            .getOrDefault("timeout_ms", List.of("0"))
                            .get(0)));
        } catch (NumberFormatException e) {
            send(ctx, 400, "{}");
            return;
        }
        if (watchesSilent) {
            return;
        }
        Version old = olderLists && random.nextDouble() < OLDER_SHARE ? older.peekFirst() : null;
        if (old != null) {
            send(ctx, 200, json(proxy, old.seq(), old.hosts(), true).toString());
        } else if (since > hostList.seq() || since == 0) {
            answer(proxy, ctx, hostList.whole(), true);
        } else if (since < hostList.seq() || watches.size() >= MAX_WATCHES) {
            answer(proxy, ctx, hostList.since(since), false);
        } else {
            Watch watch = new Watch(proxy, ctx, since);
            watch.timeout = fleet.loop().schedule(watch::end, (long) Math.max(0, wait), TimeUnit.MILLISECONDS);
            watches.add(watch);
        }
    }

    /** Answers all watches after a change of the list. */
    void changed() {
        older.addLast(new Version(hostList.seq(), hostList.whole()));
        if (older.size() > OLDER_VERSIONS) {
            older.removeFirst();
        }
        List.copyOf(watches).forEach(Watch::end);
    }

    /** Sets whether watches go unanswered, pending ones included. */
    void watchesSilent(boolean on) {
        watchesSilent = on;
        dropWatches();
    }

    /** Sets whether some responses are lists of older versions. */
    void olderLists(boolean on) {
        olderLists = on;
    }

    /** Emulates a loss of state: version numbers restart. */
    void renumber() {
        hostList.renumber();
        older.clear();
        changed();
    }

    private void dropWatches() {
        List.copyOf(watches).forEach(w -> w.timeout.cancel(false));
        watches.clear();
    }

    boolean isDown() {
        return down;
    }

    /** Sets whether discovery is down: it then answers nothing and drops all watches. */
    void down(boolean on) {
        down = on;
        if (on) {
            dropWatches();
            listener.close();
        }
    }

    private void answer(int proxy, ChannelHandlerContext ctx, List<HostList.Host> hosts, boolean whole) {
        double now = fleet.now();
        if (idleAtMs - now > MAX_QUEUE_DELAY_MS) {
            send(ctx, 503, "{}");
            return;
        }
        idleAtMs =
                Math.max(now, idleAtMs) + hosts.size() * 1000.0 / fleet.spec().listLines();
        String body = json(proxy, hostList.seq(), hosts, whole).toString();
        fleet.loop()
                .schedule(
                        () -> {
                            if (!down) {
                                send(ctx, 200, body).addListener(written -> {
                                    if (written.isSuccess()) {
                                        recordUpdate(proxy, hosts);
                                    }
                                });
                            }
                        },
                        (long) (Math.max(0, idleAtMs - now) * 1e6),
                        TimeUnit.NANOSECONDS);
    }

    /** Records the update as of the write of its last byte, after any delay that the emulated link added. */
    private void recordUpdate(int proxy, List<HostList.Host> hosts) {
        hosts.forEach(h -> fleet.oracle().told(proxy, h.name(), h.health() == HostList.Health.UP, fleet.now()));
    }

    private static ChannelFuture send(ChannelHandlerContext ctx, int status, String body) {
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(status),
                Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
        response.headers()
                .setInt(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes())
                .set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        return ctx.writeAndFlush(response);
    }

    /** Encodes a list for a proxy, with the addresses that this proxy connects to. */
    static JsonObject json(int proxy, long seq, List<HostList.Host> hosts, boolean whole) {
        JsonObject list = new JsonObject();
        list.addProperty("seq", seq);
        list.addProperty("whole", whole);
        JsonArray entries = new JsonArray();
        for (HostList.Host h : hosts) {
            JsonObject entry = new JsonObject();
            entry.addProperty("host", h.name());
            entry.addProperty(
                    "dial", h.addresses().get(Math.min(proxy, h.addresses().size() - 1)));
            entry.addProperty("site", h.site());
            entry.addProperty("class", h.kind());
            entry.addProperty("block", h.block());
            entry.addProperty("health", h.health().name().toLowerCase(Locale.ROOT));
            entry.addProperty("share", 1.0);
            entry.addProperty("born_ms", h.bornMs());
            entries.add(entry);
        }
        list.add("hosts", entries);
        return list;
    }
}
