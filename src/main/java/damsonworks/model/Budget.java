package damsonworks.model;

import damsonworks.member.Membership;
import damsonworks.member.Send.Urgency;
import damsonworks.peer.Envelope;
import damsonworks.peer.Outbox;

/** An instance's budget for messages as its membership sees it: each is a datagram of its own. */
record Budget(Outbox outbox) implements Membership.Allowance {
    static int bytes(int body) {
        return Envelope.bytes(body);
    }

    @Override
    public boolean take(double nowMs, int bytes, Urgency urgency) {
        return outbox.admits(nowMs, bytes(bytes), Outbox.Level.values()[urgency.ordinal()]);
    }

    @Override
    public int spare(double nowMs) {
        return outbox.spare(nowMs);
    }
}
