package cacheproxy.control;

import cacheproxy.drain.DrainStateMachine;
import cacheproxy.proxy.lifecycle.Proxy;
import com.google.gson.JsonObject;

/** The section {@code drain} of the status, and the commands {@code drain} and {@code drain-cancel}. */
final class DrainControl {
    private final Proxy proxy;

    private DrainControl(Proxy proxy) {
        this.proxy = proxy;
    }

    static void register(ControlRegistry registry, Proxy proxy) {
        DrainControl control = new DrainControl(proxy);
        registry.section("drain", control::progress);
        registry.command("drain", control::drain);
        registry.command("drain-cancel", arguments -> control.cancel());
    }

    private JsonObject drain(CommandArguments arguments) {
        DrainStateMachine.StartResult start = proxy.startDrain(arguments.number("deadline_ms"));
        JsonObject result = progress();
        result.addProperty("already", start.alreadyDraining());
        result.addProperty("words", start.message());
        return result;
    }

    private JsonObject cancel() {
        String refusal = proxy.cancelDrain();
        if (refusal != null) {
            throw new CommandException(refusal);
        }
        return progress();
    }

    private JsonObject progress() {
        DrainStateMachine.Progress progress = proxy.drainProgress();
        JsonObject json = new JsonObject();
        json.addProperty("phase", progress.phase().statusName());
        json.addProperty("share", progress.completedFraction());
        json.addProperty("owed", progress.unanswered());
        json.addProperty("connections", progress.connections());
        json.addProperty("left_ms", Math.round(progress.remainingMs()));
        json.addProperty("deadline_left_ms", Math.round(progress.deadlineRemainingMs()));
        json.addProperty("drains", progress.drainCount());
        json.addProperty("cancels", progress.cancelCount());
        return json;
    }
}
