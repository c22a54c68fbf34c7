package cacheproxy.emulator;

import io.netty.channel.Channel;
import java.util.ArrayDeque;

/**
 * The pipelined responses of one connection, written in command order as they become ready. Ready responses are held
 * back while the process is frozen.
 */
final class ResponsePipeline {
    /** The place of one command's response in the pipeline. */
    static final class Slot {
        private Object answer;
    }

    private final Channel channel;
    private final Listener listener;
    private final ArrayDeque<Slot> slots = new ArrayDeque<>();

    ResponsePipeline(Channel channel, Listener listener) {
        this.channel = channel;
        this.listener = listener;
    }

    Slot next() {
        Slot slot = new Slot();
        slots.add(slot);
        return slot;
    }

    void answer(Slot slot, Object answer) {
        slot.answer = answer;
        flush();
    }

    void flush() {
        if (listener.frozen()) {
            return;
        }
        boolean wrote = false;
        while (!slots.isEmpty() && slots.peek().answer != null) {
            channel.write(slots.poll().answer);
            wrote = true;
        }
        if (wrote) {
            channel.flush();
        }
    }
}
