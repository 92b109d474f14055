package org.mountlug.core.lead;

import org.mountlug.Constants;

/**
 * Who may act for the controllers. A node leads while the leader key on its lease is its own; the key's revision is the
 * fencing token, which renewals leave alone and every new term raises. Calls say what happened; {@link #next} says what
 * to do.
 */
public final class Election {
    /** The one step to take now. */
    public enum Step {
        NONE,
        LOOK,
        OPEN_LEASE,
        CAMPAIGN,
        RENEW,
        DROP_OLD_LEASE
    }

    private final String label;
    private final String nonce;
    private boolean busy;
    private boolean leading;
    private long token;
    private long lease;
    private double validUntilS = Double.NEGATIVE_INFINITY;
    private double lastRenewS;
    private boolean keyFree;
    private double campaignAtS;
    private double nextLookS;
    private String leader;
    private long seenStamp;
    private long oldLease;
    /** The leader's lease, 0 once given up for ended. */
    private long leaderLease;

    private double resignedUntilS = Double.NEGATIVE_INFINITY;

    /** @param nonce tells this process from an earlier one of the same label */
    public Election(String label, String nonce) {
        this.label = label;
        this.nonce = nonce;
    }

    /** Whether this controller holds the leader key as far as it knows. */
    public boolean leading() {
        return leading;
    }

    /** The fencing token of the current or last term. */
    public long token() {
        return token;
    }

    /** The lease that this controller has opened, 0 if none. */
    public long lease() {
        return lease;
    }

    /** The lease that has to be dropped, 0 if none. */
    public long oldLease() {
        return oldLease;
    }

    /** Tells this process from others of the same label. */
    public String nonce() {
        return nonce;
    }

    /** The leader's label as last seen, or null. */
    public String leader() {
        return leading ? label : leader;
    }

    /** Whether the lease is proven to be ours at this time; without that nothing may be started. */
    public boolean proven(double nowS) {
        return leading && nowS < validUntilS;
    }

    /** The step to take now; its outcome has to be told before there is another. */
    public Step next(double nowS) {
        if (busy) {
            return Step.NONE;
        }
        if (leading) {
            if (nowS - lastRenewS < Constants.LEADER_RENEW_MS / 1000.0) {
                return Step.NONE;
            }
            return act(Step.RENEW);
        }
        if (oldLease != 0) {
            return act(Step.DROP_OLD_LEASE);
        }
        if (keyFree && nowS >= campaignAtS) {
            return act(lease == 0 ? Step.OPEN_LEASE : Step.CAMPAIGN);
        }
        if (!keyFree && nowS >= nextLookS) {
            nextLookS = nowS + Constants.CAMPAIGN_RETRY_MS / 1000.0;
            return act(Step.LOOK);
        }
        return Step.NONE;
    }

    private Step act(Step s) {
        busy = true;
        return s;
    }

    /** The leader key was read; {@code who} null means there is none. {@code random} in [0,1). */
    public void looked(double nowS, String who, String itsNonce, long itsLease, long stamp, double random) {
        busy = false;
        if (leading) {
            return;
        }
        if (who == null) {
            free(nowS, random);
            return;
        }
        keyFree = false;
        seenStamp = stamp;
        leader = who.equals(label) ? null : who;
        leaderLease = itsLease;
        if (!who.equals(label)) {
            return;
        }
        if (nonce.equals(itsNonce) && itsLease == lease) {
            won(nowS, stamp); // a campaign whose answer was lost
        } else {
            // An earlier process of this label is dead, or we would not run: no need to wait for its lease.
            oldLease = itsLease;
        }
    }

    /** The key was seen to vanish. */
    public void vanished(double nowS, double random) {
        if (leading) {
            return;
        }
        free(nowS, random);
    }

    private void free(double nowS, double random) {
        if (!keyFree) {
            campaignAtS = Math.max(nowS + random * Constants.CAMPAIGN_SPREAD_MS / 1000.0, resignedUntilS);
        }
        keyFree = true;
        leader = null;
    }

    /**
     * Gives up leading, as somebody else can do it better: the lease is dropped, so that the others need not wait for
     * its end, and for a while the campaign is theirs.
     */
    public void resign(double nowS) {
        if (!leading) {
            return;
        }
        oldLease = lease;
        depose();
        resignedUntilS = nowS + Constants.RESIGNED_S;
    }

    /**
     * The leader's process has ended, by all that its peers can tell: its lease need not be waited for. Should it live
     * after all, it is deposed like any other, as every transaction of its is guarded by the key that goes with the lease.
     */
    public void leaderEnded(String who) {
        if (leading || !who.equals(leader) || leaderLease == 0) {
            return;
        }
        oldLease = leaderLease;
        leaderLease = 0;
    }

    /** A step got no usable answer. */
    public void failed(double nowS) {
        busy = false;
        if (!leading) {
            nextLookS = nowS + Constants.CAMPAIGN_RETRY_MS / 1000.0;
            keyFree = false;
            lease = 0;
        } else {
            lastRenewS = nowS - Constants.LEADER_RENEW_MS / 1000.0 * 0.6;
        }
    }

    /** The request to drop the old lease has been answered. */
    public void oldLeaseDropped(double nowS) {
        busy = false;
        oldLease = 0;
        nextLookS = nowS;
    }

    /** A lease was opened by a request that was sent at {@code askedS}. */
    public void leaseOpened(double askedS, long id) {
        busy = false;
        lease = id;
        lastRenewS = askedS;
    }

    /** A campaign was answered; {@code epoch} is the token if it was won. */
    public void campaigned(double nowS, boolean success, long epoch) {
        busy = false;
        if (success) {
            won(nowS, epoch);
        } else {
            keyFree = false;
            lease = 0;
            nextLookS = nowS;
        }
    }

    private void won(double nowS, long stamp) {
        leading = true;
        token = stamp;
        keyFree = false;
        // The lease was opened at lastRenewS or later, so its life is counted from there.
        validUntilS = until(lastRenewS);
    }

    private double until(double askedS) {
        return askedS + Constants.LEADER_LEASE_MS / 1000.0 * (1 - Constants.DRIFT) - Constants.PROOF_MARGIN_S;
    }

    /** A renewal was answered; {@code askedS} is when it was sent, the earliest moment from which it counts. */
    public void renewed(double askedS, boolean alive) {
        busy = false;
        if (!leading) {
            return;
        }
        if (alive) {
            lastRenewS = askedS;
            validUntilS = until(askedS);
        } else {
            depose();
        }
    }

    /** A guarded transaction failed on the leader key, the lease ended, or a worker knows a higher token. */
    public void depose() {
        leading = false;
        lease = 0;
        keyFree = false;
        leader = null;
        nextLookS = 0;
    }

    /** The revision of another controller's leader key, as last read. */
    public long seenStamp() {
        return seenStamp;
    }
}
