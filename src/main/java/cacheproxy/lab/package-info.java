/**
 * Fault-injection scenarios: several proxy processes run in front of an emulated fleet, are partitioned, stopped,
 * killed and restarted, and are checked against the oracle's rules and the scenario's expectations. Scenarios are files
 * of the configuration language, kept under {@code lab/}; {@link cacheproxy.lab.ScenarioFile} reads them,
 * {@link cacheproxy.lab.LabRun} runs them, {@link cacheproxy.lab.Outcome} holds the outcome. May use {@code demo},
 * {@code emulator}, {@code load} and {@code config}; like these it controls the proxies by protocol, configuration and
 * signals.
 */
package cacheproxy.lab;
