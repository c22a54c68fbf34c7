package cacheproxy;

import cacheproxy.proxy.lifecycle.FleetFeatures;

/**
 * The options of {@code serve}. Parsed without a command line library, so that the start of a proxy does not have to
 * load one. The flags are used in operators' scripts and must stay:
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

    /** Parses the command line, whose first argument is {@code serve}; returns null if it is invalid. */
    static ServeOptions parse(String[] args) {
        ServeOptions options = new ServeOptions();
        for (int i = 1; i < args.length; i += 2) {
            if (!options.set(args[i], i + 1 < args.length ? args[i + 1] : "")) {
                return null;
            }
        }
        return options;
    }

    /**
     * Sets one option; returns false if the flag is unknown, the value is invalid, or the flag must not be repeated.
     */
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

    /** Returns the file with the routes, or null if there is none. */
    String routesFile() {
        return routesFile;
    }

    /** Returns the path of the control socket, or null if there is none. */
    String controlSocket() {
        return controlSocket;
    }

    /** Returns the interval at which metrics are logged, in milliseconds; 0 if they are not logged. */
    long metricsIntervalMs() {
        return metricsIntervalMs;
    }

    /** Returns the fleet features that are enabled. */
    FleetFeatures features() {
        return new FleetFeatures(view, zones, recovery);
    }

    /** Returns the folder for persistent state, or null if there is none. */
    String stateFolder() {
        return stateFolder;
    }

    /** Returns the name of the instance's fleet. */
    String fleetName() {
        return fleetName;
    }
}
