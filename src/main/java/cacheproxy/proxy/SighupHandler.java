package cacheproxy.proxy;

import java.lang.invoke.MethodHandle;
import java.lang.invoke.MethodHandleProxies;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.MethodType;

/**
 * SIGHUP, which ends a JVM that has no handler for it. To be installed first of all: a signal that comes while the
 * process starts is kept until there is something to be done by it. The JDK has no public interface to signals, so that
 * of the module jdk.unsupported is reached by its name: compiling against it warns.
 */
public final class SighupHandler {
    private boolean arrives;
    private boolean pending;
    private Runnable task;

    private SighupHandler() {}

    /** Handles the signal from now on. */
    public static SighupHandler install() {
        SighupHandler handler = new SighupHandler();
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> type = Class.forName("sun.misc.SignalHandler");
            Runnable signalled = handler::signalled;
            MethodHandle run = MethodHandles.lookup()
                    .findVirtual(Runnable.class, "run", MethodType.methodType(void.class))
                    .bindTo(signalled);
            Object before = signal.getMethod("handle", signal, type)
                    .invoke(
                            null,
                            signal.getConstructor(String.class).newInstance("HUP"),
                            MethodHandleProxies.asInterfaceInstance(type, MethodHandles.dropArguments(run, 0, signal)));
            handler.arrives = before != type.getField("SIG_IGN").get(null);
        } catch (ReflectiveOperationException e) {
            System.err.println("no handler for SIGHUP: " + e);
        }
        return handler;
    }

    /** Whether the signal arrives: one that was ignored at the start, as under nohup, stays so in a JVM. */
    boolean arrives() {
        return arrives;
    }

    /** Runs the task on a thread of its own at each signal from now on, and at once if one has come before. */
    void on(Runnable next) {
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

    /** On a thread of the signal's own. */
    private void signalled() {
        Runnable now;
        synchronized (this) {
            now = task;
            pending |= now == null;
        }
        if (now != null) {
            now.run();
        }
    }
}
