package cacheproxy.state;

/**
 * Something about a folder that its owner should know.
 *
 * @param file its name in the folder
 * @param line counted from 1; 0 for the whole file
 * @param problem is the matter
 * @param severity what follows from it
 */
public record Finding(String file, int line, String problem, Severity severity) {
    /** What follows from something that was found. */
    public enum Severity {
        /** Nothing: it is ordinary after a crash. */
        HARMLESS("none"),
        /** Some records are lost, the others are sound. */
        RECORDS_LOST("some"),
        /** Nothing of the folder can be used. */
        UNUSABLE("all");

        private final String wireName;

        Severity(String wireName) {
            this.wireName = wireName;
        }

        /** Its name in reports. */
        public String wireName() {
            return wireName;
        }
    }

    @Override
    public String toString() {
        return (line == 0 ? file : file + ":" + line) + ": " + problem;
    }
}
