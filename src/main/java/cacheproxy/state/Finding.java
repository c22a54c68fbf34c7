package cacheproxy.state;

/**
 * A problem found while reading a state folder.
 *
 * @param file the file's name in the folder
 * @param line the line number, from 1; 0 for the file as a whole
 * @param problem what is wrong, as a phrase that follows the file's name
 * @param severity how much is lost
 */
public record Finding(String file, int line, String problem, Severity severity) {
    /** How much is lost by a problem. */
    public enum Severity {
        /** Nothing: the problem is normal after a crash. */
        HARMLESS("none"),
        /** Some records; the others are intact. */
        RECORDS_LOST("some"),
        /** Everything: nothing in the folder can be used. */
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
