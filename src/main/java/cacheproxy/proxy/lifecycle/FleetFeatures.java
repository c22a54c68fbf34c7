package cacheproxy.proxy.lifecycle;

/**
 * What an instance does together with the other instances of its fleet, where the settings allow peer messages.
 *
 * @param view whether it takes part in the membership view; implied by the others
 * @param zones whether it takes part in the fleet's zone decisions
 * @param recovery whether it coordinates its recovery with the others
 */
public record FleetFeatures(boolean view, boolean zones, boolean recovery) {
    /** Whether any of them needs the membership view. */
    public boolean any() {
        return view || zones || recovery;
    }
}
