package cacheproxy.lab;

import cacheproxy.demo.ProxiedFleet;
import cacheproxy.demo.ProxyProcess;
import java.io.IOException;
import java.util.List;

/** Additional activity during a scenario, with checks of its own. */
public interface Companion {
    /** No additional activity. */
    Companion NONE = new Companion() {
        @Override
        public void begin(ProxiedFleet fleet) {}

        @Override
        public void end(List<ProxyProcess> proxies) {}
    };

    /** Called when the fault schedule starts. */
    void begin(ProxiedFleet fleet) throws IOException;

    /** Called when the last client request has ended, while the processes still run. */
    void end(List<ProxyProcess> proxies) throws IOException, InterruptedException;
}
