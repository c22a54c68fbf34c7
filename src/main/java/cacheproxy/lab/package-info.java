/**
 * The lab: scenarios in which several processes of the program run before stand-ins, are cut apart, stopped, killed and
 * started again, and are judged by the rules and by what a scenario expects. Scenarios are files of the configuration
 * language, kept under {@code lab/}; {@link cacheproxy.lab.ScenarioFile} reads them, {@link cacheproxy.lab.LabRun}
 * plays them, {@link cacheproxy.lab.Outcome} is what came of it. May use {@code demo}, {@code emulator}, {@code load}
 * and {@code config}; meets the program as these do, by protocol, configuration and signals.
 */
package cacheproxy.lab;
