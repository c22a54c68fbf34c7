package cacheproxy.state;

/**
 * Whose file it is, and which one.
 *
 * @param instance the name in the instance's configuration
 * @param fleet the name of the fleet that it belongs to
 * @param generation goes up with each snapshot; a journal belongs to the snapshot of its generation
 * @param starts how often a process has opened the folder to write
 */
public record StateFileHeader(String instance, String fleet, long generation, long starts) {
    /** The form of the files; a higher one is another version's. */
    public static final int VERSION = 1;

    /** Checks the ranges. */
    public StateFileHeader {
        if (instance.isEmpty() || generation < 0 || starts < 0) {
            throw new IllegalArgumentException(
                    "a header of '" + instance + "', generation " + generation + ", " + starts + " starts");
        }
    }

    /** Of the next snapshot. */
    StateFileHeader nextGeneration() {
        return new StateFileHeader(instance, fleet, generation + 1, starts);
    }

    /** Of the next process. */
    StateFileHeader nextStart() {
        return new StateFileHeader(instance, fleet, generation, starts + 1);
    }
}
