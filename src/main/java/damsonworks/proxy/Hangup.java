package damsonworks.proxy;

import java.lang.invoke.MethodHandle;
import java.lang.invoke.MethodHandleProxies;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.MethodType;

/**
 * SIGHUP, which ends a JVM that has no handler for it. The JDK has no public interface to signals, so that of the
 * module jdk.unsupported is reached by its name: compiling against it warns.
 */
final class Hangup {
    private Hangup() {}

    /**
     * Runs the task on a thread of its own at each SIGHUP from now on.
     *
     * @return whether the signal arrives: one that was ignored at the start, as under nohup, stays so in a JVM
     */
    static boolean on(Runnable task) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            MethodHandle run = MethodHandles.lookup()
                    .findVirtual(Runnable.class, "run", MethodType.methodType(void.class))
                    .bindTo(task);
            Object before = signal.getMethod("handle", signal, handler)
                    .invoke(
                            null,
                            signal.getConstructor(String.class).newInstance("HUP"),
                            MethodHandleProxies.asInterfaceInstance(
                                    handler, MethodHandles.dropArguments(run, 0, signal)));
            return before != handler.getField("SIG_IGN").get(null);
        } catch (ReflectiveOperationException e) {
            System.err.println("no handler for SIGHUP: " + e);
            return false;
        }
    }
}
