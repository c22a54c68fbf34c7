package cacheproxy.proxy;

import cacheproxy.gossip.MembershipBudget;
import cacheproxy.membership.LiveMembers;
import cacheproxy.membership.Membership;
import cacheproxy.membership.MembershipSettings;
import cacheproxy.membership.MembershipView;
import cacheproxy.membership.ServicePhase;
import cacheproxy.proxy.peer.PeerDatagramSocket;
import cacheproxy.proxy.peer.PeerMessageKind;
import cacheproxy.routing.RoutingSettings;
import java.util.function.Consumer;

/** Carries out what {@link Membership} decides: its messages and its times. On the event loop only. */
public final class MembershipLink {
    private final Dispatcher dispatcher;
    private final PeerDatagramSocket peers;
    private final Membership members;
    private final Consumer<LiveMembers> liveMembersListener;
    /** A timer that was set before the last one is void. */
    private long timerGeneration;

    private LiveMembers liveMembers = new LiveMembers(1);
    private Runnable changed = () -> {};

    /**
     * {@code remembered}: the incarnation of this instance's last life, 0 for none; {@code liveMembersListener}: told
     * the number that lives each time that it changes.
     */
    public MembershipLink(
            Dispatcher dispatcher,
            PeerDatagramSocket peers,
            RoutingSettings settings,
            long remembered,
            long seed,
            ServicePhase phase,
            Consumer<LiveMembers> advised) {
        this.dispatcher = dispatcher;
        this.peers = peers;
        this.liveMembersListener = advised;
        members = new Membership(
                MembershipSettings.forConfigured(settings.instanceCount()),
                settings.instanceIndex(),
                settings.zone(),
                new byte[0],
                remembered,
                settings.instanceSeed(seed),
                new MembershipBudget(peers.budget()));
        members.phase(phase);
        run();
    }

    void messageReceived(int peer, byte[] body) {
        members.messageReceived(now(), peer, body);
        run();
    }

    /** What is to be done each time that something may have changed. */
    public void onChange(Runnable then) {
        changed = then;
    }

    /** What one part of the program publishes by this proxy. */
    void note(int part, byte[] bytes) {
        members.note(part, bytes);
        run();
    }

    /** Announces this phase of the instance. */
    public void phase(ServicePhase phase) {
        members.phase(phase);
        run();
    }

    /** This instance goes for good; its peers are told. */
    public void leave() {
        members.leave(now());
        run();
    }

    /** The members of the fleet as this instance sees them. */
    public MembershipView view() {
        return members.view(now());
    }

    /** The number of this instance's life. */
    public long incarnation() {
        return members.incarnation();
    }

    /** How often this proxy refuted that it was dead. */
    public long deathsRefuted() {
        return members.deathsRefuted();
    }

    /** Messages that could not be read. */
    public long unreadable() {
        return members.unreadable();
    }

    private static double now() {
        return System.nanoTime() / 1e6; // the outbox's time, which all parts share
    }

    private void run() {
        long mine = ++timerGeneration;
        members.tick(now());
        members.outgoing().forEach(s -> peers.sendWithinBudget(s.to(), PeerMessageKind.MEMBERSHIP, s.body()));
        LiveMembers lives = members.liveMembers();
        if (!lives.equals(liveMembers)) {
            liveMembers = lives;
            liveMembersListener.accept(lives);
        }
        changed.run();
        double due = members.dueMs();
        if (due != Double.POSITIVE_INFINITY) {
            dispatcher.after(Math.max(0, due - now()), () -> {
                if (timerGeneration == mine) {
                    run();
                }
            });
        }
    }
}
