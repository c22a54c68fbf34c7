package cacheproxy.quota;

/** What a quota counts, with the name of its section in the settings and its label in messages. */
public enum Measure {
    /** Requests, reads and writes alike. */
    REQUESTS("requests", "REQUESTS"),
    /** Bytes of values in either direction. The number is known only afterwards: see {@link QuotaTree#settle}. */
    BYTES("bytes", "BYTES"),
    /** Writes. */
    WRITES("writes", "WRITES");

    private final String setting;
    private final String label;

    Measure(String setting, String label) {
        this.setting = setting;
        this.label = label;
    }

    /** The name of its section in the settings. */
    public String setting() {
        return setting;
    }

    /** What messages call it. */
    String label() {
        return label;
    }

    /** Whether a section of the settings of this name is a measure. */
    public static boolean isSetting(String name) {
        for (Measure measure : values()) {
            if (measure.setting.equals(name)) {
                return true;
            }
        }
        return false;
    }

    /**
     * The measure of a section of the settings.
     *
     * @throws InvalidQuotaException if it is no such section
     */
    public static Measure ofSetting(String name) {
        for (Measure measure : values()) {
            if (measure.setting.equals(name)) {
                return measure;
            }
        }
        throw new InvalidQuotaException("measure " + name + ", expected requests, bytes or writes");
    }

    /**
     * How much one request counts.
     *
     * @param bytes the size of its value, as far as known on arrival
     */
    long of(long bytes, boolean write) {
        return switch (this) {
            case REQUESTS -> 1;
            case BYTES -> bytes;
            case WRITES -> write ? 1 : 0;
        };
    }
}
