package cacheproxy.proxy.peer;

import cacheproxy.gossip.MembershipBudget;
import cacheproxy.membership.LiveMembers;
import cacheproxy.membership.Membership;
import cacheproxy.membership.MembershipSettings;
import cacheproxy.membership.MembershipView;
import cacheproxy.membership.ServicePhase;
import cacheproxy.routing.RoutingSettings;
import java.util.function.Consumer;

/** Sends the messages that {@link Membership} decides on, and calls it when it is due. Event loop only. */
public final class MembershipLink {
    private final EventScheduler scheduler;
    private final PeerDatagramSocket peers;
    private final Membership membership;
    private final Consumer<LiveMembers> liveMembersListener;
    /** Counts the timers that were set; an earlier timer than the last does nothing. */
    private long timerGeneration;

    private LiveMembers liveMembers = new LiveMembers(1);
    private Runnable changeListener = () -> {};

    /**
     * Begins at once.
     *
     * @param lastIncarnation the incarnation of this instance's last process; 0 if that is unknown
     * @param liveMembersListener called with the number of live members each time that it changes
     */
    public MembershipLink(
            EventScheduler scheduler,
            PeerDatagramSocket peers,
            RoutingSettings settings,
            long lastIncarnation,
            long seed,
            ServicePhase phase,
            Consumer<LiveMembers> liveMembersListener) {
        this.scheduler = scheduler;
        this.peers = peers;
        this.liveMembersListener = liveMembersListener;
        membership = new Membership(
                MembershipSettings.forConfigured(settings.instanceCount()),
                settings.instanceIndex(),
                settings.zone(),
                new byte[0],
                lastIncarnation,
                settings.instanceSeed(seed),
                new MembershipBudget(peers.budget()));
        membership.setPhase(phase);
        run();
    }

    /** A membership message of a peer has been received. */
    public void messageReceived(int peer, byte[] body) {
        membership.messageReceived(nowMs(), peer, body);
        run();
    }

    /** Sets what is called each time that something may have changed. */
    public void onChange(Runnable listener) {
        changeListener = listener;
    }

    /** Publishes a part's note with this instance's entry; empty removes it. */
    public void note(int part, byte[] bytes) {
        membership.setMetadata(part, bytes);
        run();
    }

    /** Announces the phase of this instance's service. */
    public void phase(ServicePhase phase) {
        membership.setPhase(phase);
        run();
    }

    /** Announces that this instance leaves for good. */
    public void leave() {
        membership.leave(nowMs());
        run();
    }

    /** The fleet as this instance sees it now. */
    public MembershipView view() {
        return membership.view(nowMs());
    }

    /** This instance's incarnation number. */
    public long incarnation() {
        return membership.incarnation();
    }

    /** How often this proxy refuted that it was dead. */
    public long deathsRefuted() {
        return membership.deathsRefuted();
    }

    /** Messages that could not be read. */
    public long unreadable() {
        return membership.rejectedMessages();
    }

    private static double nowMs() {
        return System.nanoTime() / 1e6; // the clock of the send budget, which all parts share
    }

    private void run() {
        long timer = ++timerGeneration;
        membership.tick(nowMs());
        membership.takeOutgoing().forEach(s -> peers.sendWithinBudget(s.to(), PeerMessageKind.MEMBERSHIP, s.body()));
        LiveMembers nowLive = membership.liveMembers();
        if (!nowLive.equals(liveMembers)) {
            liveMembers = nowLive;
            liveMembersListener.accept(nowLive);
        }
        changeListener.run();
        double dueMs = membership.dueMs();
        if (dueMs != Double.POSITIVE_INFINITY) {
            scheduler.schedule(Math.max(0, dueMs - nowMs()), () -> {
                if (timerGeneration == timer) {
                    run();
                }
            });
        }
    }
}
