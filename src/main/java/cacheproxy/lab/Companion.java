package cacheproxy.lab;

import cacheproxy.demo.ProxyProcess;
import java.io.IOException;
import java.util.List;

/** What goes on beside the clients of a scenario, and has a judgement of its own. */
public interface Companion {
    /** Nothing goes on beside. */
    Companion NONE = new Companion() {
        @Override
        public void begin(List<ProxyProcess> proxies) {}

        @Override
        public void end(List<ProxyProcess> proxies) {}
    };

    /** The faults begin. */
    void begin(List<ProxyProcess> proxies) throws IOException;

    /** The last request of the clients is over; the processes still run. */
    void end(List<ProxyProcess> proxies) throws IOException, InterruptedException;
}
