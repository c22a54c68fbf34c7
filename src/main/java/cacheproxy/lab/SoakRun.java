package cacheproxy.lab;

import cacheproxy.config.Problems;
import cacheproxy.demo.ProxiedFleet;
import cacheproxy.demo.ProxyProcess;
import cacheproxy.emulator.Fault;
import cacheproxy.metrics.EventKind;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Runs one soak: its scenario together with bad clients. Checked by the oracle, the bad clients, the proxies' logs and
 * the proxies' resource usage.
 */
public final class SoakRun implements Companion {
    /** Events that no proxy may log. */
    private static final List<EventKind> UNEXPECTED_EVENTS =
            List.of(EventKind.RULE_VIOLATION, EventKind.INTERNAL_ERROR);

    private static final int MOST_LINES = 5;
    /** Time in which proxies close the connections of the last bad clients. */
    private static final long QUIET_MS = 4000;

    private final Scenario scenario;
    private final BadClients clients;
    private final DepartingClients departing;
    /** Null without floods. */
    private final FloodingClients flooding;

    private final List<String> violations = new ArrayList<>();
    private List<ProcessUse> before = List.of();

    private SoakRun(Scenario scenario, long seed, boolean badClients, boolean floods) {
        this.scenario = scenario;
        String className = scenario.fleet().classes().get(0).name();
        clients = badClients ? new BadClients(seed, className, scenario.faults()) : null;
        departing = badClients ? new DepartingClients(seed, className, judgesDepartures(scenario)) : null;
        flooding = floods
                ? new FloodingClients(
                        seed, className, scenario.faults(), scenario.fleet().proxies(), scenario.forMs())
                : null;
    }

    /**
     * Whether servers read commands when they are sent, so that the time at which they do tells whether a proxy sent
     * them too late.
     */
    private static boolean judgesDepartures(Scenario scenario) {
        return scenario.links().isEmpty()
                && scenario.faults().stream()
                        .noneMatch(f -> f.action() == Fault.Action.FREEZE || f.action() == Fault.Action.SILENCE);
    }

    /**
     * The result of a soak.
     *
     * @param outcome the outcome of its scenario
     * @param owed number of bad clients that should have got an error or a close
     * @param violations violations that the oracle does not see: bad clients that got neither, rule violations and
     *     internal errors in the proxies' logs, and resources not released at the end
     */
    public record Result(Outcome outcome, int owed, List<String> violations) {
        /** Whether everything held; false if the machine was too busy to judge. */
        public boolean held() {
            return outcome.judgement() == Outcome.Judgement.HELD && violations.isEmpty();
        }
    }

    /**
     * Runs the plan in a file.
     *
     * @param kinds bad clients take part if {@link SoakPlan.Kind#CLIENTS} is among these
     * @param logs a folder for the proxies' logs, or null
     * @param progress receives one line per second
     */
    public static Result play(Path plan, long seed, Set<SoakPlan.Kind> kinds, Path logs, Consumer<String> progress)
            throws IOException, InterruptedException {
        Problems problems = new Problems();
        ScenarioFile file = ScenarioFile.read(plan, problems);
        if (!problems.none()) {
            throw new IllegalArgumentException(problems.text());
        }
        Scenario scenario = file.scenario(seed);
        SoakRun run = new SoakRun(
                scenario, seed, kinds.contains(SoakPlan.Kind.CLIENTS), kinds.contains(SoakPlan.Kind.FLOODS));
        Outcome outcome = new LabRun(scenario, seed, logs, progress, run).play();
        return new Result(outcome, run.clients == null ? 0 : run.clients.owed(), List.copyOf(run.violations));
    }

    @Override
    public void begin(ProxiedFleet fleet) throws IOException {
        List<ProxyProcess> proxies = fleet.proxies();
        List<ProcessUse> uses = new ArrayList<>();
        for (ProxyProcess proxy : proxies) {
            uses.add(ProcessUse.of(proxy.pid()));
        }
        before = uses;
        if (clients != null) {
            clients.begin(proxies);
            departing.begin(fleet);
        }
        if (flooding != null) {
            flooding.begin(proxies);
        }
    }

    @Override
    public void end(List<ProxyProcess> proxies) throws IOException, InterruptedException {
        if (flooding != null) {
            flooding.close();
            if (!flooding.lateAnswers().isEmpty()) {
                List<String> late = flooding.lateAnswers();
                violations.add(late.size() + " answers beside " + flooding.begun() + " floods were late: "
                        + late.subList(0, Math.min(MOST_LINES, late.size())));
            }
        }
        if (clients != null) {
            clients.close();
            departing.close();
            if (clients.unheard() > 0) {
                violations.add(clients.unheard() + " of " + clients.owed()
                        + " bad clients got neither an error nor a close in time: " + clients.examples());
            }
        }
        TimeUnit.MILLISECONDS.sleep(QUIET_MS);
        for (int i = 0; i < proxies.size(); i++) {
            ProxyProcess proxy = proxies.get(i);
            readLog(proxy);
            if (proxy.alive()) {
                ProcessUse now = ProcessUse.of(proxy.pid());
                if (!now.backTo(before.get(i), scenario.fleet().nodes())) {
                    violations.add(proxy.name() + " holds " + now + ", before " + before.get(i));
                }
            }
        }
    }

    private static boolean isUnexpected(String line) {
        return UNEXPECTED_EVENTS.stream().anyMatch(kind -> line.startsWith(kind.key() + ": "));
    }

    private void readLog(ProxyProcess proxy) throws IOException {
        List<String> lines = Files.readAllLines(proxy.logFile()).stream()
                .filter(SoakRun::isUnexpected)
                .filter(line -> !LateAnswerLog.isExplained(line, proxy.stops()))
                .toList();
        if (!lines.isEmpty()) {
            violations.add(proxy.name() + " reports " + lines.size() + ": "
                    + lines.subList(0, Math.min(MOST_LINES, lines.size())));
        }
    }
}
