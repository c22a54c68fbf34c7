package cacheproxy.lab;

import cacheproxy.emulator.Fault;
import cacheproxy.emulator.FleetSpec;
import cacheproxy.emulator.LinkFault;
import java.util.List;

/**
 * A scenario file with its random choices made for one seed.
 *
 * @param name name for display
 * @param fleet the emulated fleet
 * @param rate requests per second
 * @param leadInMs length of the lead-in, at a quarter of the rate and not counted; fault times count from its end
 * @param forMs length of the run after the lead-in
 * @param keys number of keys
 * @param connections maximum number of client connections
 * @param inTurn whether each connection stands for a client of its own
 * @param faults faults of processes and servers
 * @param links faults of the links between them
 * @param expectations expectations that all have to hold
 * @param bands the faults as time ranges for display
 */
public record Scenario(
        String name,
        FleetSpec fleet,
        double rate,
        double leadInMs,
        double forMs,
        int keys,
        int connections,
        boolean inTurn,
        List<Fault> faults,
        List<LinkFault> links,
        List<Expectation> expectations,
        List<Band> bands) {

    /** One occurrence of a fault in the file: its name, begin and end in ms. */
    public record Band(String name, double fromMs, double toMs) {}
}
