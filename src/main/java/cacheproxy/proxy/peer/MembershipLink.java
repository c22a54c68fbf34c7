package cacheproxy.proxy.peer;

import cacheproxy.gossip.MembershipBudget;
import cacheproxy.membership.LiveMembers;
import cacheproxy.membership.Membership;
import cacheproxy.membership.MembershipSettings;
import cacheproxy.membership.MembershipView;
import cacheproxy.membership.ServicePhase;
import cacheproxy.routing.RoutingSettings;
import java.util.function.Consumer;

/** Sends the messages that {@link Membership} decides on, and runs its timer. On the event loop only. */
public final class MembershipLink {
    private final EventScheduler scheduler;
    private final PeerDatagramSocket peers;
    private final Membership membership;
    private final Consumer<LiveMembers> liveMembersListener;
    /** Counts the timers that were set; only the last one has an effect. */
    private long timerGeneration;

    private LiveMembers liveMembers = new LiveMembers(1);
    private Runnable changeListener = () -> {};

    /**
     * Starts at once.
     *
     * @param lastIncarnation the incarnation of this instance's last process; 0 if that is unknown
     * @param liveMembersListener called with the number of live members whenever it changes
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

    /** Sets the listener that is called whenever the view may have changed. */
    public void onChange(Runnable listener) {
        changeListener = listener;
    }

    /** Publishes metadata of one part with this instance's entry; empty removes it. */
    public void note(int part, byte[] bytes) {
        membership.setMetadata(part, bytes);
        run();
    }

    /** Announces this instance's service phase. */
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

    /** How often this instance refuted a claim that it was dead. */
    public long deathsRefuted() {
        return membership.deathsRefuted();
    }

    /** The number of messages that could not be parsed. */
    public long unreadable() {
        return membership.rejectedMessages();
    }

    private static double nowMs() {
        return System.nanoTime() / 1e6; // the clock of the shared send budget
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
