package cacheproxy.state;

/**
 * The first line of each state file: which instance it belongs to and which generation it is.
 *
 * @param instance the instance's name in its configuration, not empty
 * @param fleet the name of the fleet that it belongs to
 * @param generation goes up with each snapshot, 0 or more; a journal belongs to the snapshot of its generation
 * @param starts how often a process has opened the folder to write, 0 or more
 */
public record StateFileHeader(String instance, String fleet, long generation, long starts) {
    /** The version of the file format; a process reads no other. */
    public static final int VERSION = 1;

    /** Checks the ranges. */
    public StateFileHeader {
        if (instance.isEmpty() || generation < 0 || starts < 0) {
            throw new IllegalArgumentException(
                    "a header of '" + instance + "', generation " + generation + ", " + starts + " starts");
        }
    }

    /** The header of the next snapshot. */
    StateFileHeader nextGeneration() {
        return new StateFileHeader(instance, fleet, generation + 1, starts);
    }

    /** The header of the next process. */
    StateFileHeader nextStart() {
        return new StateFileHeader(instance, fleet, generation, starts + 1);
    }
}
