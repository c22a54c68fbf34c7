package cacheproxy.state;

/**
 * A problem that was found when a state folder was read.
 *
 * @param file the file's name in the folder
 * @param line its line, from 1; 0 for the file as a whole
 * @param problem what is wrong, to stand behind the file's name
 * @param severity what is lost by it
 */
public record Finding(String file, int line, String problem, Severity severity) {
    /** What is lost by a problem. */
    public enum Severity {
        /** Nothing: it is usual after a crash. */
        HARMLESS("none"),
        /** Some records; the others are intact. */
        RECORDS_LOST("some"),
        /** All: nothing of the folder can be used. */
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
