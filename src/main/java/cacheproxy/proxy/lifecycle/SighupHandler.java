package cacheproxy.proxy.lifecycle;

import java.lang.invoke.MethodHandle;
import java.lang.invoke.MethodHandleProxies;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.MethodType;

/**
 * Handles SIGHUP, which terminates a JVM that has no handler for it. Must be installed before anything else; a signal
 * that arrives during the start stays pending until there is a task for it. The JDK has no public API for signals, so
 * that of the module jdk.unsupported is called by reflection, as compiling against it causes a warning.
 */
public final class SighupHandler {
    private boolean delivered;
    private boolean pending;
    private Runnable task;

    private SighupHandler() {}

    /** Installs a handler. */
    public static SighupHandler install() {
        SighupHandler handler = new SighupHandler();
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> type = Class.forName("sun.misc.SignalHandler");
            Runnable signalled = handler::handle;
            MethodHandle run = MethodHandles.lookup()
                    .findVirtual(Runnable.class, "run", MethodType.methodType(void.class))
                    .bindTo(signalled);
            Object before = signal.getMethod("handle", signal, type)
                    .invoke(
                            null,
                            signal.getConstructor(String.class).newInstance("HUP"),
                            MethodHandleProxies.asInterfaceInstance(type, MethodHandles.dropArguments(run, 0, signal)));
            handler.delivered = before != type.getField("SIG_IGN").get(null);
        } catch (ReflectiveOperationException e) {
            System.err.println("failed to install the SIGHUP handler: " + e);
        }
        return handler;
    }

    /** Whether the signal is delivered. If the JVM was started with it ignored, as by nohup, it stays ignored. */
    public boolean delivered() {
        return delivered;
    }

    /** Runs the task on a separate thread at each later signal, and at once if a signal is pending. */
    public void onSignal(Runnable next) {
        boolean due;
        synchronized (this) {
            task = next;
            due = pending;
            pending = false;
        }
        if (due) {
            next.run();
        }
    }

    /** Runs on the thread that the JVM starts for each signal. */
    private void handle() {
        Runnable current;
        synchronized (this) {
            current = task;
            pending |= current == null;
        }
        if (current != null) {
            current.run();
        }
    }
}
