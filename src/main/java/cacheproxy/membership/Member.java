package cacheproxy.membership;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

/**
 * What is known of one instance. Entries of the same instance form a join semilattice: {@link #merge} is associative,
 * commutative and idempotent, so instances that have received the same entries know the same, in whatever order and
 * however often they received them.
 *
 * <ol>
 *   <li>The higher incarnation takes precedence; only the instance itself raises its own.
 *   <li>Within an incarnation, the higher process nonce takes precedence: two processes run under one number, and one
 *       of them has to raise its incarnation.
 *   <li>Within a process, the later {@link MemberState} takes precedence, and the higher version of what the instance
 *       publishes about itself.
 * </ol>
 *
 * @param id the number of the instance, 0 to {@link #MAX_ID}
 * @param incarnation 1 to {@link #MAX_INCARNATION}, raised at each start and each refutation
 * @param processNonce a random number, 0 to 65,535, that the process generates at its start; distinguishes two
 *     processes of one instance
 * @param state the state found by other instances
 * @param confirmers the members whose probes have failed and thereby confirm a suspicion, at most
 *     {@link #MAX_CONFIRMERS}
 * @param zone the zone of the instance, 0 to {@link #MAX_ZONE}
 * @param version the version of what the instance publishes about itself: phase and metadata
 * @param phase the phase of its service
 * @param metadata the values that other parts of the program publish through the entry, by a key of 0 to 7; at most
 *     {@link #MAX_METADATA_VALUE_BYTES} bytes each and {@link #MAX_METADATA_BYTES} in total, so that three entries fit
 *     into any message
 * @param address the address of the instance, 6 bytes; empty if it is configured
 */
public record Member(
        int id,
        long incarnation,
        int processNonce,
        MemberState state,
        TreeSet<Integer> confirmers,
        int zone,
        int version,
        ServicePhase phase,
        Map<Integer, byte[]> metadata,
        byte[] address) {
    /** The highest number of an instance. */
    public static final int MAX_ID = 65_534;
    /** The highest number of a zone: the maximum that fits into two bytes of a message. */
    public static final int MAX_ZONE = 0x3fff;
    /** The highest incarnation; with one incarnation per second it is reached after 136 years. */
    public static final long MAX_INCARNATION = 0xffff_ffffL;
    /** The maximum number of confirmers of a suspicion; if there are more, those with the lowest numbers. */
    public static final int MAX_CONFIRMERS = 4;
    /** The maximum size of a metadata value, in bytes. */
    public static final int MAX_METADATA_VALUE_BYTES = 24;
    /** The maximum size of all metadata values, in bytes. */
    public static final int MAX_METADATA_BYTES = 32;
    /** The number of metadata keys. */
    public static final int MAX_METADATA_KEYS = 8;

    private static final byte[] NO_METADATA = {};

    /** Checks the ranges. */
    public Member {
        if (id < 0
                || id > MAX_ID
                || incarnation < 1
                || incarnation > MAX_INCARNATION
                || processNonce < 0
                || processNonce > 0xffff
                || zone < 0
                || zone > MAX_ZONE
                || version < 0) {
            throw new IllegalArgumentException("instance " + id + " in incarnation " + incarnation + ", process nonce "
                    + processNonce + ", zone " + zone + ", version " + version + " is out of range");
        }
        if (confirmers.size() > MAX_CONFIRMERS
                || (address.length != 0 && address.length != 6)
                || metadata.entrySet().stream()
                        .anyMatch(n -> n.getKey() < 0
                                || n.getKey() >= MAX_METADATA_KEYS
                                || n.getValue().length > MAX_METADATA_VALUE_BYTES)
                || metadata.values().stream().mapToInt(n -> n.length).sum() > MAX_METADATA_BYTES) {
            throw new IllegalArgumentException(
                    "instance " + id + " has confirmers, metadata or an address out of range");
        }
    }

    /** Creates the entry of a process that starts. */
    public static Member start(int id, long incarnation, int processNonce, int zone, byte[] address) {
        return new Member(
                id,
                incarnation,
                processNonce,
                MemberState.ALIVE,
                new TreeSet<>(),
                zone,
                0,
                ServicePhase.STARTING,
                Map.of(),
                address);
    }

    /**
     * Compares incarnation and process nonce: positive if this entry takes precedence, 0 if both describe the same
     * process in one incarnation.
     */
    public int compareIncarnation(Member other) {
        int order = Long.compare(incarnation, other.incarnation);
        return order != 0 ? order : Integer.compare(processNonce, other.processNonce);
    }

    /** Merges two entries; returns this object if the other adds nothing. */
    @SuppressWarnings("ReferenceEquality") // returns this object if nothing is new
    public Member merge(Member other) {
        int order = compareIncarnation(other);
        if (order != 0) {
            return order > 0 ? this : other;
        }
        MemberState mergedState = state.compareTo(other.state) >= 0 ? state : other.state;
        TreeSet<Integer> mergedConfirmers = mergeConfirmers(mergedState, other);
        Member newer = version >= other.version ? this : other;
        if (mergedState == state && newer == this && mergedConfirmers.equals(confirmers)) {
            return this;
        }
        return new Member(
                id,
                incarnation,
                processNonce,
                mergedState,
                mergedConfirmers,
                newer.zone,
                newer.version,
                newer.phase,
                newer.metadata,
                newer.address);
    }

    /** Returns the lowest numbers of all confirmers; a dead member needs none. */
    private TreeSet<Integer> mergeConfirmers(MemberState mergedState, Member other) {
        TreeSet<Integer> all = new TreeSet<>();
        if (mergedState == MemberState.SUSPECT) {
            all.addAll(confirmers);
            all.addAll(other.confirmers);
        }
        return lowest(all);
    }

    private static TreeSet<Integer> lowest(TreeSet<Integer> all) {
        while (all.size() > MAX_CONFIRMERS) {
            all.pollLast();
        }
        return all;
    }

    /** Returns this entry in another state. */
    Member withState(MemberState newState) {
        return new Member(
                id, incarnation, processNonce, newState, new TreeSet<>(), zone, version, phase, metadata, address);
    }

    /** Returns this entry, suspected by one more member. */
    Member suspectedBy(int instance) {
        TreeSet<Integer> all = new TreeSet<>(confirmers);
        all.add(instance);
        return new Member(
                id,
                incarnation,
                processNonce,
                MemberState.SUSPECT,
                lowest(all),
                zone,
                version,
                phase,
                metadata,
                address);
    }

    /** Returns this entry, alive in another incarnation. */
    Member withIncarnation(long higher) {
        return new Member(
                id, higher, processNonce, MemberState.ALIVE, new TreeSet<>(), zone, version, phase, metadata, address);
    }

    /** Returns this entry with another phase and other metadata, in the next version. */
    Member withPhaseAndMetadata(ServicePhase newPhase, Map<Integer, byte[]> newMetadata) {
        return new Member(
                id,
                incarnation,
                processNonce,
                state,
                confirmers,
                zone,
                version + 1,
                newPhase,
                Map.copyOf(newMetadata),
                address);
    }

    /** Returns this entry with one metadata value replaced; an empty value removes it. */
    Member withMetadata(int key, byte[] value) {
        Map<Integer, byte[]> all = new HashMap<>(metadata);
        if (value.length == 0) {
            all.remove(key);
        } else {
            all.put(key, value.clone());
        }
        return withPhaseAndMetadata(phase, all);
    }

    /** Returns the metadata value of a key; empty if there is none. */
    public byte[] metadata(int key) {
        return metadata.getOrDefault(key, NO_METADATA).clone();
    }

    /**
     * Returns the contribution of this entry to a digest: 0 for a member that is dead or has left, because one instance
     * may have removed it already and another not yet. Suspicions are not included: they are temporary, and while
     * messages get lost there is almost always one.
     */
    long hash() {
        return state.isLive()
                ? mix(mix(id * 0x9e3779b97f4a7c15L + incarnation) ^ ((long) processNonce << 34 | version))
                : 0;
    }

    /** A 64-bit mixing function (Stafford's variant 13), from which all instances derive the same orders. */
    public static long mix(long x) {
        long z = (x ^ x >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return z ^ z >>> 31;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Member e
                && id == e.id
                && incarnation == e.incarnation
                && processNonce == e.processNonce
                && state == e.state
                && confirmers.equals(e.confirmers)
                && zone == e.zone
                && version == e.version
                && phase == e.phase
                && Arrays.equals(address, e.address)
                && metadata.keySet().equals(e.metadata.keySet())
                && metadata.keySet().stream().allMatch(k -> Arrays.equals(metadata.get(k), e.metadata.get(k)));
    }

    @Override
    public int hashCode() {
        return Long.hashCode(hash()) * 31 + state.code() + confirmers.hashCode();
    }

    @Override
    public String toString() {
        return id
                + (state == MemberState.ALIVE
                        ? " alive"
                        : state == MemberState.SUSPECT
                                ? " suspected by " + confirmers
                                : state == MemberState.DEAD ? " dead" : " left")
                + " in " + incarnation + "/" + Integer.toHexString(processNonce)
                + " v" + version;
    }
}
