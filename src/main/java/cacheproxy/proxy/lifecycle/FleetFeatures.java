package cacheproxy.proxy.lifecycle;

/**
 * Which features that need the other instances of the fleet are enabled. They require settings that allow peer
 * messages.
 *
 * @param view whether it takes part in the membership view; implied by the others
 * @param zones whether it takes part in the fleet's zone decisions
 * @param recovery whether it coordinates its recovery with the others
 */
public record FleetFeatures(boolean view, boolean zones, boolean recovery) {
    /** Whether any feature is enabled; each needs the membership view. */
    public boolean any() {
        return view || zones || recovery;
    }
}
