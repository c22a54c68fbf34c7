package cacheproxy.simulator;

import cacheproxy.routing.CarpLoadBalancer;
import cacheproxy.routing.LoadBalancer;
import java.io.BufferedInputStream;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Connects the decision module to the operators' simulator: reads batches of events, delivers each event to its
 * instance and writes the instances' actions. Makes no decisions. The frames are defined by {@link EventBatch},
 * {@link EventDecoder} and {@link ReplyFrame}.
 */
public final class SimulatorAdapter {
    private static final int MAX_INSTANCES = 1 << 16;
    private static final int INPUT_BUFFER_BYTES = 1 << 16;

    private final EventBatch batch;
    private final EventDecoder decoder;
    private final OutputStream out;
    private final LoadBalancer[] instances = new LoadBalancer[MAX_INSTANCES];
    private final ReplyFrame reply = new ReplyFrame();

    SimulatorAdapter(InputStream in, OutputStream out) {
        batch = new EventBatch(in);
        decoder = new EventDecoder(batch);
        this.out = out;
    }

    /** Runs on standard input and output until the input ends; returns the exit code of the process. */
    public static int main() {
        InputStream in = new BufferedInputStream(System.in, INPUT_BUFFER_BYTES);
        try {
            new SimulatorAdapter(in, new FileOutputStream(FileDescriptor.out)).run();
            return 0;
        } catch (MalformedInputException | IOException e) {
            System.err.println(e.getMessage());
            return 1;
        }
    }

    /**
     * Replies to batches until the input ends.
     *
     * @throws MalformedInputException if the input is malformed; the message names the batch and the record
     */
    void run() throws IOException {
        while (batch.readNext()) {
            reply.begin();
            for (int index = 0; index < batch.recordCount(); index++) {
                handle(index);
            }
            reply.write(out, batch.number());
        }
    }

    private void handle(int index) {
        int record = batch.recordStart(index);
        int instance = decoder.instance(record);
        reply.setInstance(instance);
        try {
            dispatch(record, instance);
        } catch (MalformedInputException e) {
            throw new MalformedInputException("batch " + batch.number() + ", record " + index + ": " + e.getMessage());
        } catch (RuntimeException e) { // a decision module's fault, which ends the simulator's run
            StackTraceElement[] trace = e.getStackTrace();
            reply.fault("instance " + instance + ": " + e + (trace.length > 0 ? " at " + trace[0] : ""));
        }
    }

    private void dispatch(int record, int instance) {
        int code = decoder.code(record);
        if (code == EventDecoder.START) {
            instances[instance] = start(record);
            return;
        }
        LoadBalancer target = instances[instance];
        if (target == null) {
            throw new MalformedInputException("unknown instance " + instance);
        }
        if (code == EventDecoder.STOP) {
            instances[instance] = null;
        } else {
            decoder.dispatch(record, target, reply);
        }
    }

    private LoadBalancer start(int record) {
        String lines = new String(decoder.settings(record), StandardCharsets.UTF_8);
        return new CarpLoadBalancer(SettingsParser.ofLines(lines).settings(), decoder.seed(record));
    }
}
