package cacheproxy.lab;

import cacheproxy.emulator.Fault;
import cacheproxy.emulator.FleetSpec;
import cacheproxy.emulator.LinkFault;
import java.util.List;

/**
 * What a file of the lab says, drawn out for one seed.
 *
 * @param name for people
 * @param fleet the stand-ins
 * @param rate requests a second
 * @param leadInMs at a quarter of the rate and not counted; the faults' times count from its end
 * @param forMs how long it lasts from then on
 * @param keys in the key space
 * @param connections of clients, at most
 * @param inTurn these are as many clients, each with its own
 * @param faults in parts of the fleet
 * @param links between them
 * @param expectations all of which have to hold
 * @param bands the faults as people see them
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

    /** One fault of the file, one time that it happens: its name, begin and end in ms. */
    public record Band(String name, double fromMs, double toMs) {}
}
