package cacheproxy.emulator;

import cacheproxy.emulator.meta.MetaCommand;
import cacheproxy.emulator.meta.MetaCommandDecoder;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;

/**
 * An emulated cache node: serves the meta commands on one socket per proxy, to tell the senders apart, with one core
 * behind a bounded queue, an LRU store and a cold start. Confined to the fleet's event loop.
 */
final class CacheNode {
    /**
     * The work of accepting a connection, as a share of a read's mean work; below, that of a miss as a share of a hit.
     */
    private static final double HANDSHAKE_WORK = 0.06;

    private static final double MISS_WORK = 0.05;

    private final EmulatedFleet fleet;
    private final String name;
    private final double speed;
    private final Listener listener;
    private final LruStore<String> store;
    private final Service core;
    private final Set<ResponsePipeline> pipelines = new HashSet<>();
    private final Random random;
    private ColdStart start;
    private double spoiltShare;
    private boolean keepsStale;
    private double cachedShareAtStart;
    private int incarnation;

    CacheNode(EmulatedFleet fleet, String name, double speed, long seed) {
        this.fleet = fleet;
        this.name = name;
        this.speed = speed;
        random = new Random(seed);
        FleetSpec spec = fleet.spec();
        store = new LruStore<>(spec.cacheEntries());
        core = new Service(fleet, new ServiceModel<>(1, spec.queue()), () -> speed * start.share(fleet.now()));
        start = new ColdStart(spec.coldStart(), speed, Double.NEGATIVE_INFINITY);
        cachedShareAtStart = spec.heldAtStart();
        listener = new Listener(fleet.loop(), seed, this::accepted);
        for (int p = 0; p < spec.proxies(); p++) {
            listener.bind();
        }
    }

    String name() {
        return name;
    }

    Listener listener() {
        return listener;
    }

    // ---- store

    /** Stores a value that the origin returned for a request that missed here. */
    void fill(String key, long version) {
        if (listener.isOpen()) {
            store.put(key, version);
        }
    }

    /** Invalidates a key after a write. */
    void drop(String key) {
        if (!keepsStale) {
            store.drop(key);
        }
    }

    private Long cachedVersion(String key) {
        Long version = store.get(key);
        if (version == null && cachedAtStart(key)) {
            version = fleet.origin().version(key);
            store.put(key, version);
        }
        return version;
    }

    /** Whether this key was cached at the start and has not been written since. */
    private boolean cachedAtStart(String key) {
        return cachedShareAtStart > 0
                && fleet.origin().version(key) == 0
                && (Keys.mix(key.hashCode() * 31L + name.hashCode()) >>> 11) * 0x1.0p-53 < cachedShareAtStart;
    }

    // ---- commands

    private void accepted(Channel channel, int proxy) {
        if (listener.size() > fleet.spec().connections()) {
            channel.close();
            return;
        }
        core.offer(() -> {}, fleet.spec().workMs() * HANDSHAKE_WORK);
        fleet.series().count(proxy, Series.What.OPENED);
        ResponsePipeline pipeline = new ResponsePipeline(channel, listener);
        pipelines.add(pipeline);
        channel.closeFuture().addListener(f -> pipelines.remove(pipeline));
        channel.pipeline().addLast(new MetaCommandDecoder(), new SimpleChannelInboundHandler<MetaCommand>() {
            @Override
            protected void channelRead0(ChannelHandlerContext ctx, MetaCommand command) {
                handle(ctx, pipeline, proxy, command);
            }

            @Override
            public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                ctx.close();
            }
        });
    }

    private void handle(ChannelHandlerContext ctx, ResponsePipeline pipeline, int proxy, MetaCommand command) {
        if (command instanceof MetaCommand.Read read) {
            read(pipeline, proxy, read);
        } else if (command instanceof MetaCommand.Write) {
            pipeline.answer(pipeline.next(), text("CLIENT_ERROR writes go to the origin\r\n"));
        } else if (command instanceof MetaCommand.Unusable u && u.fatal()) {
            ctx.writeAndFlush(text("CLIENT_ERROR " + u.why() + "\r\n")).addListener(ChannelFutureListener.CLOSE);
        } else if (command instanceof MetaCommand.Noop) {
            pipeline.answer(pipeline.next(), text("MN\r\n"));
        } else {
            pipeline.answer(pipeline.next(), text("ERROR\r\n"));
        }
    }

    private void read(ResponsePipeline pipeline, int proxy, MetaCommand.Read read) {
        double now = fleet.now();
        fleet.oracle().sent(proxy, name, read.id(), now);
        fleet.series().attempt(proxy, fleet.spec().layout().zoneOf(Parties.number(name)));
        ResponsePipeline.Slot slot = pipeline.next();
        boolean hit = cachedVersion(read.key()) != null;
        double work = fleet.work(read.id(), read.extras()) * (hit ? 1 : MISS_WORK);
        if (start.pushedOver(now, work)) {
            fleet.pushedOver(this);
            return;
        }
        int startedIn = incarnation;
        Runnable done = () -> {
            if (incarnation == startedIn) {
                pipeline.answer(slot, answer(read));
            }
        };
        if (work == 0) {
            done.run();
        } else if (!core.offer(done, work)) {
            pipeline.answer(slot, text("SERVER_ERROR busy\r\n"));
        }
    }

    private ByteBuf answer(MetaCommand.Read read) {
        Long version = cachedVersion(read.key());
        if (version == null) {
            boolean fetched = fleet.missed(read, this);
            return text("EN O" + read.id() + (fetched ? " h0 Z\r\n" : " h0\r\n"));
        }
        byte[] value =
                new Payload(read.key(), version).bytes(fleet.spec().values().bytesOf(read.key()));
        if (spoiltShare > 0 && random.nextDouble() < spoiltShare) {
            return spoilt(read, value);
        }
        return value("VA " + value.length + " O" + read.id() + " h1\r\n", value);
    }

    private ByteBuf spoilt(MetaCommand.Read read, byte[] value) {
        return switch (random.nextInt(4)) {
            case 0 -> text("\u0007\u0003 noise\r\n");
            case 1 -> value("VA " + value.length + " Offffffffffffffff h1\r\n", value);
            case 2 -> value("VA " + (value.length - 3) + " O" + read.id() + " h1\r\n", value);
            default -> text("VA 99999999999 O" + read.id() + " h1\r\n");
        };
    }

    private static ByteBuf value(String head, byte[] value) {
        return Unpooled.wrappedBuffer(head.getBytes(StandardCharsets.ISO_8859_1), value, new byte[] {'\r', '\n'});
    }

    private static ByteBuf text(String text) {
        return Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    // ---- faults

    void stall(double ms) {
        core.stall(ms);
    }

    void freeze(boolean on) {
        listener.freeze(on);
        if (!on) {
            pipelines.forEach(ResponsePipeline::flush);
        }
    }

    void spoil(double share) {
        spoiltShare = share;
    }

    void keepStale(boolean on) {
        keepsStale = on;
        if (!on) {
            store.clear();
        }
    }

    /** Emulates a crash: the store is lost, connections are reset and new ones are refused. */
    void crash() {
        incarnation++;
        listener.refuseNew();
        listener.reset();
        core.clear();
        store.clear();
    }

    /** Emulates a restart: a process with an empty store and cold capacity listens on the same addresses. */
    void restart(Runnable then) {
        cachedShareAtStart = 0;
        start = new ColdStart(fleet.spec().coldStart(), speed, fleet.now());
        listener.reopen(then);
    }
}
