package cacheproxy;

import cacheproxy.proxy.lifecycle.FleetFeatures;

/**
 * The options of {@code serve}. Parsed by hand, so that a proxy's start loads no command line library. The flags stand
 * in operators' scripts:
 *
 * <pre>
 * --edge FILE        {@link #routesFile}
 * --control PATH     {@link #controlSocket}
 * --figures SECONDSs {@link #metricsIntervalMs}
 * --view on|off      {@link #features}
 * --zones on|off     {@link #features}
 * --recovery on|off  {@link #features}
 * --state FOLDER     {@link #stateFolder}
 * --fleet NAME       {@link #fleetName}
 * </pre>
 */
final class ServeOptions {
    static final String USAGE = "usage: serve [--edge FILE] [--control PATH] [--figures SECONDSs] [--view on|off] "
            + "[--zones on|off] [--recovery on|off] [--state FOLDER] [--fleet NAME]";
    private static final String SECONDS_PATTERN = "[1-9][0-9]{0,4}s";
    private static final String ON_OFF_PATTERN = "on|off";
    private static final String NAME_PATTERN = "[A-Za-z0-9][A-Za-z0-9._-]{0,59}";

    private String routesFile;
    private String controlSocket;
    private long metricsIntervalMs;
    private boolean view;
    private boolean zones;
    private boolean recovery;
    private String stateFolder;
    private String fleetName = "fleet";

    private ServeOptions() {}

    /** Parses the command line, whose first word is {@code serve}; null if it is wrong. */
    static ServeOptions parse(String[] args) {
        ServeOptions options = new ServeOptions();
        for (int i = 1; i < args.length; i += 2) {
            if (!options.set(args[i], i + 1 < args.length ? args[i + 1] : "")) {
                return null;
            }
        }
        return options;
    }

    /** Sets one option; false if the flag is unknown, its value is wrong, or it may not be repeated. */
    private boolean set(String flag, String value) {
        return switch (flag) {
            case "--edge" -> {
                boolean valid = routesFile == null && !value.isEmpty();
                routesFile = value;
                yield valid;
            }
            case "--control" -> {
                boolean valid = controlSocket == null && !value.isEmpty();
                controlSocket = value;
                yield valid;
            }
            case "--state" -> {
                boolean valid = stateFolder == null && !value.isEmpty();
                stateFolder = value;
                yield valid;
            }
            case "--fleet" -> {
                fleetName = value;
                yield value.matches(NAME_PATTERN);
            }
            case "--figures" -> setMetricsInterval(value);
            default -> value.matches(ON_OFF_PATTERN) && setFeature(flag, value.equals("on"));
        };
    }

    private boolean setMetricsInterval(String value) {
        if (metricsIntervalMs != 0 || !value.matches(SECONDS_PATTERN)) {
            return false;
        }
        metricsIntervalMs = 1000 * Long.parseLong(value.substring(0, value.length() - 1));
        return true;
    }

    private boolean setFeature(String flag, boolean on) {
        switch (flag) {
            case "--view" -> view = on;
            case "--zones" -> zones = on;
            case "--recovery" -> recovery = on;
            default -> {
                return false;
            }
        }
        return true;
    }

    /** The file with the routes; null: none. */
    String routesFile() {
        return routesFile;
    }

    /** The path of the control socket; null: none. */
    String controlSocket() {
        return controlSocket;
    }

    /** How often metrics are logged, in milliseconds; 0: never. */
    long metricsIntervalMs() {
        return metricsIntervalMs;
    }

    /** What the instance does together with its fleet. */
    FleetFeatures features() {
        return new FleetFeatures(view, zones, recovery);
    }

    /** The folder for what outlasts the process; null: none. */
    String stateFolder() {
        return stateFolder;
    }

    /** The name of the instance's fleet. */
    String fleetName() {
        return fleetName;
    }
}
