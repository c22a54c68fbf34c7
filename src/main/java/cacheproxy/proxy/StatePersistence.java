package cacheproxy.proxy;

import cacheproxy.failover.Zones.Held;
import cacheproxy.proxy.discovery.DiscoveryClient;
import cacheproxy.routing.EndpointUpdateKind;
import cacheproxy.state.Finding;
import cacheproxy.state.Finding.Severity;
import cacheproxy.state.OpenedState;
import cacheproxy.state.RecordKind;
import cacheproxy.state.RecordStore;
import cacheproxy.state.StateFileHeader;
import cacheproxy.state.StateFolder;
import cacheproxy.state.StateWrite;
import cacheproxy.state.StoredRecord;
import com.google.gson.JsonElement;
import com.google.gson.JsonPrimitive;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Keeps what outlasts this process in a folder: carries out what {@link RecordStore} orders, on a thread that may wait
 * for the disk. A folder that can't be written, now or later, is told once and costs no request; another process that
 * writes there, as the one that this one takes over from, is waited for. On the event loop but for the writing itself.
 */
public final class StatePersistence {
    private static final double REFRESH_MS = 5000;
    /** A list that was told again is written again only when what is stored has come to be this old. */
    private static final double LIST_REFRESH_MS = 20_000;

    private static final double LOCK_AGAIN_MS = 300;
    /** What the last write may take at the end of the process. */
    private static final long LAST_MS = 300;

    private final StateFolder folder;
    private final String instance;
    private final String fleet;
    private final OpenedState opened;
    private final RecordStore recordStore;
    private final ExecutorService writer = Executors.newSingleThreadExecutor(r -> {
        Thread thread = new Thread(r, "state");
        thread.setDaemon(true);
        return thread;
    });
    private Dispatcher dispatcher;
    private DiscoveryClient discovery;
    private LongSupplier incarnation = () -> 0;
    private ZoneLink zones;
    private boolean locked;
    private boolean locking;
    private boolean told;
    private boolean closed;
    /** A timer that was set before the last one is void. */
    private long waits;

    /** Reads the folder; waits for the disk, so not to be called on the event loop. Never fails. */
    public StatePersistence(Path path, String instance, String fleet) {
        folder = new StateFolder(path);
        this.instance = instance;
        this.fleet = fleet;
        opened = folder.read(instance, fleet);
        recordStore = new RecordStore(opened, instance, fleet);
    }

    /** What was there. */
    public OpenedState opened() {
        return opened;
    }

    /** Keeps from now on what this proxy comes to know. */
    public void start(Dispatcher by, DiscoveryClient list) {
        dispatcher = by;
        discovery = list;
        for (Finding f : opened.findings()) {
            if (f.severity() != Severity.HARMLESS) {
                dispatcher.log("state: " + folder.path() + ": " + f);
            }
        }
        if (!opened.records().isEmpty()) {
            double now = dispatcher.now();
            dispatcher.log("state: found "
                    + String.join(
                            ", ",
                            opened.records().values().stream()
                                    .sorted(Comparator.comparing(StoredRecord::kind))
                                    .map(r -> String.format(
                                            Locale.ROOT,
                                            "%s %.1f s old (%s)",
                                            r.kind().wireName(),
                                            (now - r.recordedAtMs()) / 1000,
                                            r.validity(now).wireName()))
                                    .toList()));
        }
        dispatcher.addEndpointListListener(this::listed);
        refresh();
    }

    /** What else is kept: the number of this instance's life, and what is decided of zones; null for none. */
    public void keep(LongSupplier life, ZoneLink decided) {
        incarnation = life;
        zones = decided;
        fleetChanged();
    }

    private void listed(EndpointUpdateKind kind) {
        if (kind == EndpointUpdateKind.SNAPSHOT || kind == EndpointUpdateKind.DELTA) {
            JsonElement list = discovery.snapshot();
            StoredRecord before = recordStore.get(RecordKind.ENDPOINT_LIST);
            if (before == null
                    || !before.body().equals(list)
                    || dispatcher.now() - before.recordedAtMs() > LIST_REFRESH_MS) {
                put(RecordKind.ENDPOINT_LIST, list);
            }
        }
    }

    /** The view of the fleet or what is decided of zones may have changed. */
    public void fleetChanged() {
        if (dispatcher == null || closed) {
            return;
        }
        long life = incarnation.getAsLong();
        if (life > 0) {
            put(RecordKind.INCARNATION, new JsonPrimitive(life));
        }
        if (zones != null) {
            Map<Integer, Held> held = zones.zones().held();
            putIfNew(RecordKind.ZONE_STATES, ZoneForm.json(held, false, zones.names()));
            putIfNew(RecordKind.OPERATOR_ORDERS, ZoneForm.json(held, true, zones.names()));
        }
    }

    private void putIfNew(RecordKind kind, JsonElement body) {
        StoredRecord before = recordStore.get(kind);
        if (before == null ? body.getAsJsonObject().size() > 0 : !before.body().equals(body)) {
            put(kind, body);
        }
    }

    private void refresh() {
        if (closed) {
            return;
        }
        put(RecordKind.LEARNED_STATE, LearnedStateCodec.json(dispatcher.learnedState()));
        if (zones != null && zones.zones().quorum()) {
            JsonElement held = ZoneForm.json(zones.zones().held(), false, zones.names());
            if (held.getAsJsonObject().size() > 0) {
                put(RecordKind.ZONE_STATES, held); // it holds still
            }
        }
        dispatcher.after(REFRESH_MS, this::refresh);
    }

    private void put(RecordKind kind, JsonElement body) {
        if (!closed) {
            recordStore.put(now(), new StoredRecord(kind, dispatcher.now(), body));
            run();
        }
    }

    private static double now() {
        return System.nanoTime() / 1e6;
    }

    // ---- writing

    private void run() {
        if (!locked) {
            lock();
            return;
        }
        long mine = ++waits;
        StateWrite write = recordStore.nextWrite(now());
        if (write != null) {
            writer.execute(() -> {
                IOException failed = null;
                try {
                    folder.write(write);
                } catch (IOException e) {
                    failed = e;
                } catch (RuntimeException e) {
                    failed = new IOException(e);
                }
                IOException how = failed;
                dispatcher.loop().execute(() -> written(how));
            });
            return;
        }
        double due = recordStore.nextWriteAtMs();
        if (due != Double.POSITIVE_INFINITY) {
            dispatcher.after(Math.max(1, due - now()), () -> {
                if (waits == mine && !closed) {
                    run();
                }
            });
        }
    }

    private void written(IOException failed) {
        if (failed == null) {
            recordStore.writeSucceeded(now());
            if (told) {
                told = false;
                dispatcher.log("state: " + folder.path() + " is written again");
            }
        } else {
            recordStore.writeFailed(now());
            tell("can't be written: " + failed);
        }
        run();
    }

    private void tell(String what) {
        if (!told) {
            told = true;
            dispatcher.log("state: " + folder.path() + " " + what + "; it is tried again");
        }
    }

    /** Waits until no other process writes here; what that one wrote last comes before whatever this one writes. */
    private void lock() {
        if (locking || closed) {
            return;
        }
        locking = true;
        writer.execute(() -> {
            boolean got = false;
            StateFileHeader since = null;
            String wrong = null;
            try {
                got = folder.tryLock();
                if (got) {
                    OpenedState now = folder.read(instance, fleet);
                    since = now.header();
                    if (now.findings().stream().anyMatch(f -> f.severity() == Severity.UNUSABLE)) {
                        folder.setAside();
                    }
                }
            } catch (IOException | RuntimeException e) {
                wrong = "can't be used: " + e;
            }
            boolean mine = got && wrong == null;
            StateFileHeader found = since;
            String why = wrong;
            dispatcher.loop().execute(() -> {
                locking = false;
                if (mine) {
                    locked = true;
                    recordStore.continueAfter(found);
                    run();
                } else {
                    if (why != null) {
                        tell(why);
                    }
                    dispatcher.after(why != null ? REFRESH_MS : LOCK_AGAIN_MS, this::lock);
                }
            });
        });
    }

    /** Writes what is not written yet, for as long as that takes within bounds, and lets go of the folder. */
    public void close() {
        if (closed) {
            return;
        }
        fleetChanged();
        put(RecordKind.LEARNED_STATE, LearnedStateCodec.json(dispatcher.learnedState()));
        closed = true;
        StateWrite last = locked ? recordStore.finalWrite() : null;
        writer.execute(() -> {
            try {
                if (last != null) {
                    folder.write(last);
                }
                folder.close();
            } catch (IOException | RuntimeException e) {
                System.err.println("state: the last of it is not written: " + e);
            }
        });
        writer.shutdown();
    }

    /** Waits for the last write; not to be called on the event loop. */
    public void awaitClosed() {
        try {
            writer.awaitTermination(LAST_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** What is kept and how it is written; for status. */
    public RecordStore recordStore() {
        return recordStore;
    }

    /** Whether this process alone writes there. */
    public boolean locked() {
        return locked;
    }

    /** The folder in which it is stored. */
    public Path path() {
        return folder.path();
    }
}
