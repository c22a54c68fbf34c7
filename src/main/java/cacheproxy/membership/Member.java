package cacheproxy.membership;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

/**
 * What is known of one instance. Entries of the same instance form a join semilattice: {@link #merge} is associative,
 * commutative and idempotent, so instances that have received the same know the same, in whatever order and however
 * often they received it.
 *
 * <ol>
 *   <li>The higher incarnation holds; an instance raises its own alone.
 *   <li>In one incarnation the higher process nonce holds: two processes run under one number, and one has to raise its
 *       incarnation.
 *   <li>In one process the later {@link MemberState} holds, and of what the instance says of itself the higher version.
 * </ol>
 *
 * @param id its number, 0 to {@link #MAX_ID}
 * @param incarnation 1 to {@link #MAX_INCARNATION}, raised at each start and each refutation
 * @param processNonce drawn by the process at its start, 0 to 65,535: tells two processes of one number apart
 * @param state what others have found
 * @param confirmers of a suspicion, the members whose probes of it have failed, {@link #MAX_CONFIRMERS} at most
 * @param zone its zone, 0 to {@link #MAX_ZONE}
 * @param version of what it says of itself: phase and metadata
 * @param phase of its service
 * @param metadata what other parts of the program publish by it, by a number 0 to 7, {@link #MAX_METADATA_VALUE_BYTES}
 *     bytes each at most and {@link #MAX_METADATA_BYTES} together, so that three entries fit in any message
 * @param address where it is reached, 6 bytes; empty where the settings name it
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
    /** The highest number of a zone: what two bytes of a message hold. */
    public static final int MAX_ZONE = 0x3fff;
    /** The highest incarnation; at one a second it lasts 136 years. */
    public static final long MAX_INCARNATION = 0xffff_ffffL;
    /** How many confirmers a suspicion names at most; beyond it the lowest numbers. */
    public static final int MAX_CONFIRMERS = 4;
    /** What one part may publish, in bytes. */
    public static final int MAX_METADATA_VALUE_BYTES = 24;
    /** What all parts may publish together, in bytes. */
    public static final int MAX_METADATA_BYTES = 32;
    /** How many parts may publish. */
    public static final int MAX_METADATA_KEYS = 8;

    private static final byte[] NONE = {};

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
            throw new IllegalArgumentException("instance " + id + " in incarnation " + incarnation + ", life "
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

    /** The entry of a process that starts. */
    public static Member start(int id, long incarnation, int life, int zone, byte[] address) {
        return new Member(
                id,
                incarnation,
                life,
                MemberState.ALIVE,
                new TreeSet<>(),
                zone,
                0,
                ServicePhase.STARTING,
                Map.of(),
                address);
    }

    /** Compares incarnation and process: positive if this entry holds, 0 for the same process in one incarnation. */
    public int compareIncarnation(Member other) {
        int by = Long.compare(incarnation, other.incarnation);
        return by != 0 ? by : Integer.compare(processNonce, other.processNonce);
    }

    /** Both entries in one; this itself if the other adds nothing. */
    @SuppressWarnings("ReferenceEquality") // this itself is what is returned
    public Member merge(Member other) {
        int by = compareIncarnation(other);
        if (by != 0) {
            return by > 0 ? this : other;
        }
        MemberState both = state.compareTo(other.state) >= 0 ? state : other.state;
        TreeSet<Integer> confirming = mergeConfirmers(both, other);
        Member said = version >= other.version ? this : other;
        if (both == state && said == this && confirming.equals(confirmers)) {
            return this;
        }
        return new Member(
                id,
                incarnation,
                processNonce,
                both,
                confirming,
                said.zone,
                said.version,
                said.phase,
                said.metadata,
                said.address);
    }

    /** The lowest numbers of all confirmers; a dead member needs none. */
    private TreeSet<Integer> mergeConfirmers(MemberState both, Member other) {
        TreeSet<Integer> all = new TreeSet<>();
        if (both == MemberState.SUSPECT) {
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

    /** This entry in another state. */
    Member withState(MemberState later) {
        return new Member(
                id, incarnation, processNonce, later, new TreeSet<>(), zone, version, phase, metadata, address);
    }

    /** This entry, suspected by one more member. */
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

    /** This entry, alive in another incarnation. */
    Member withIncarnation(long higher) {
        return new Member(
                id, higher, processNonce, MemberState.ALIVE, new TreeSet<>(), zone, version, phase, metadata, address);
    }

    /** This entry with another phase and other metadata, in the next version. */
    Member withPhaseAndMetadata(ServicePhase now, Map<Integer, byte[]> all) {
        return new Member(
                id, incarnation, processNonce, state, confirmers, zone, version + 1, now, Map.copyOf(all), address);
    }

    /** This entry with one part's note replaced; an empty one is removed. */
    Member withMetadata(int part, byte[] bytes) {
        Map<Integer, byte[]> all = new HashMap<>(metadata);
        if (bytes.length == 0) {
            all.remove(part);
        } else {
            all.put(part, bytes.clone());
        }
        return withPhaseAndMetadata(phase, all);
    }

    /** A part's note, empty if it has none. */
    public byte[] metadata(int part) {
        return metadata.getOrDefault(part, NONE).clone();
    }

    /**
     * Its part in a digest: nothing for one that is dead or has left, as one instance may have forgotten it and another
     * not yet. Suspicions don't count: they pass, and while messages get lost there is always one somewhere.
     */
    long hash() {
        return state.isLive()
                ? mix(mix(id * 0x9e3779b97f4a7c15L + incarnation) ^ ((long) processNonce << 34 | version))
                : 0;
    }

    /** A mix of 64 bits (Stafford's variant 13), by which all instances derive the same orders. */
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
