package cacheproxy.emulator;

import cacheproxy.emulator.meta.MetaCommand;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * The emulated origin: HTTP/1.1, a few parallel slots and a bounded queue. It is the authority on key versions, reports
 * executed writes to the oracle, invalidates the nodes' copies on a write and fills the nodes that missed. Confined to
 * the fleet's event loop.
 */
final class OriginServer {
    private static final byte[] NOTHING = {};
    private static final double WRITE_WORK = 1.5;
    /** Queue length per slot; corresponds to some seconds of work. */
    private static final int QUEUE_PER_SLOT = 16;

    private record Receipt(long version, double atMs) {}

    private final EmulatedFleet fleet;
    private final Listener listener;
    private final Service slots;
    private final Map<String, Long> versions = new HashMap<>();
    /** Receipts of keyed writes within the deduplication window, oldest first. */
    private final Map<String, Receipt> receipts = new LinkedHashMap<>();

    private final Set<ResponsePipeline> pipelines = new HashSet<>();
    private long fetches;

    OriginServer(EmulatedFleet fleet) {
        this.fleet = fleet;
        int places = fleet.spec().originSlots();
        slots = new Service(fleet, new ServiceModel<>(places, places * QUEUE_PER_SLOT), () -> 1);
        listener = new Listener(fleet.loop(), fleet.spec().seed(), this::accepted);
        for (int p = 0; p < fleet.spec().proxies(); p++) {
            listener.bind();
        }
    }

    Listener listener() {
        return listener;
    }

    /** The number of executed writes of the key. */
    long version(String key) {
        return versions.getOrDefault(key, 0L);
    }

    /** The number of fetches served so far. */
    long fetches() {
        return fetches;
    }

    private void accepted(Channel channel, int socket) {
        fleet.series().count(socket, Series.What.OPENED);
        ResponsePipeline pipeline = new ResponsePipeline(channel, listener);
        pipelines.add(pipeline);
        channel.closeFuture().addListener(f -> pipelines.remove(pipeline));
        channel.pipeline()
                .addLast(
                        new HttpServerCodec(),
                        new HttpObjectAggregator(ValueSizes.MAX),
                        new SimpleChannelInboundHandler<FullHttpRequest>() {
                            @Override
                            protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
                                handle(pipeline, socket, request);
                            }

                            @Override
                            public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                                ctx.close();
                            }
                        });
    }

    private void handle(ResponsePipeline pipeline, int proxy, FullHttpRequest request) {
        ResponsePipeline.Slot slot = pipeline.next();
        String key = request.uri().substring(1);
        String id = request.headers().get("Req-Id", "");
        String extras = request.headers().get("Req-Extra", "");
        boolean write = request.method().equals(HttpMethod.PUT);
        if (request.uri().equals("/alive") || (!write && !request.method().equals(HttpMethod.GET)) || id.isEmpty()) {
            pipeline.answer(slot, response(id.isEmpty() ? 400 : 200, NOTHING, false));
            return;
        }
        fleet.oracle().sent(proxy, "origin", id, fleet.now());
        fleet.series().count(proxy, write ? Series.What.WRITES : Series.What.FETCHES);
        Runnable run =
                () -> pipeline.answer(slot, response(200, write ? write(key, id, extras) : read(key, id), false));
        double work = fleet.originWork(id) * (write ? WRITE_WORK : 1);
        if (!slots.offer(run, work)) {
            pipeline.answer(slot, response(503, NOTHING, true));
        }
    }

    private byte[] read(String key, String id) {
        long version = version(key);
        fetches++;
        fleet.fetched(key, id, version);
        return new Payload(key, version).bytes(fleet.spec().values().bytesOf(key));
    }

    private byte[] write(String key, String id, String extras) {
        double now = fleet.now();
        String idempotencyKey = MetaCommand.named(extras, "k");
        receipts.values().removeIf(r -> now - r.atMs() > FleetSpec.REPEAT_WINDOW_MS);
        Receipt before = idempotencyKey == null ? null : receipts.get(idempotencyKey);
        if (before != null) {
            fleet.oracle().repeated(id, idempotencyKey, now);
            return receipt(before.version());
        }
        long version = versions.merge(key, 1L, Long::sum);
        if (idempotencyKey != null) {
            receipts.put(idempotencyKey, new Receipt(version, now));
        }
        fleet.oracle().effect(id, idempotencyKey, now);
        fleet.invalidate(key);
        return receipt(version);
    }

    private static byte[] receipt(long version) {
        return ("v" + version).getBytes(StandardCharsets.ISO_8859_1);
    }

    private static FullHttpResponse response(int status, byte[] body, boolean declined) {
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(body));
        response.headers()
                .setInt(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
        if (declined) {
            response.headers().set("Srv-Declined", "1");
        }
        return response;
    }

    // ---- faults

    void stall(double ms) {
        slots.stall(ms);
    }

    void freeze(boolean on) {
        listener.freeze(on);
        if (!on) {
            pipelines.forEach(ResponsePipeline::flush);
        }
    }
}
