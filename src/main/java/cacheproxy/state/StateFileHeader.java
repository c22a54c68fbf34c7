package cacheproxy.state;

/**
 * The first line of each state file: the instance to which the file belongs, and its generation.
 *
 * @param instance the instance's name in its configuration, not empty
 * @param fleet the name of the instance's fleet
 * @param generation increases with each snapshot, 0 or more; a journal belongs to the snapshot of the same generation
 * @param starts how often a process has opened the folder for writing, 0 or more
 */
public record StateFileHeader(String instance, String fleet, long generation, long starts) {
    /** The version of the file format; a process reads no other version. */
    public static final int VERSION = 1;

    /** Checks the ranges. */
    public StateFileHeader {
        if (instance.isEmpty() || generation < 0 || starts < 0) {
            throw new IllegalArgumentException("header of instance '" + instance + "', generation " + generation + ", "
                    + starts + " starts: out of range");
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
