package org.mountlug.core.lead;

import org.mountlug.Constants;

/**
 * Who may act for the controllers. A node leads while the leader key on its lease is its own; the key's revision is the
 * fencing token, which renewals leave alone and every new term raises. Calls say what happened; {@link #nextStep} says what
 * to do.
 */
public final class Election {
    /** The one step to take now. */
    public enum Step {
        NONE,
        READ_LEADER_KEY,
        CREATE_LEASE,
        CAMPAIGN,
        RENEW_LEASE,
        REVOKE_OLD_LEASE
    }

    private final String label;
    private final String nonce;
    private boolean busy;
    private boolean leading;
    private long token;
    private long leaseId;
    private double validUntilS = Double.NEGATIVE_INFINITY;
    private double lastRenewS;
    private boolean keyFree;
    private double campaignAtS;
    private double nextLookS;
    private String leaderLabel;
    private long leaderKeyRevision;
    private long oldLeaseId;
    /** The leader's lease, 0 once given up for ended. */
    private long leaderLeaseId;

    private double resignedUntilS = Double.NEGATIVE_INFINITY;

    /** @param nonce tells this process from an earlier one of the same label */
    public Election(String label, String nonce) {
        this.label = label;
        this.nonce = nonce;
    }

    /** Whether this controller holds the leader key as far as it knows. */
    public boolean isLeading() {
        return leading;
    }

    /** The fencing token of the current or last term. */
    public long token() {
        return token;
    }

    /** The lease that this controller has opened, 0 if none. */
    public long leaseId() {
        return leaseId;
    }

    /** The lease that has to be dropped, 0 if none. */
    public long oldLeaseId() {
        return oldLeaseId;
    }

    /** Tells this process from others of the same label. */
    public String nonce() {
        return nonce;
    }

    /** The leader's label as last seen, or null. */
    public String leaderLabel() {
        return leading ? label : leaderLabel;
    }

    /** Whether the lease is proven to be ours at this time; without that nothing may be started. */
    public boolean isLeaseHeld(double nowS) {
        return leading && nowS < validUntilS;
    }

    /** The step to take now; its outcome has to be told before there is another. */
    public Step nextStep(double nowS) {
        if (busy) {
            return Step.NONE;
        }
        if (leading) {
            if (nowS - lastRenewS < Constants.LEADER_RENEW_INTERVAL_MS / 1000.0) {
                return Step.NONE;
            }
            return act(Step.RENEW_LEASE);
        }
        if (oldLeaseId != 0) {
            return act(Step.REVOKE_OLD_LEASE);
        }
        if (keyFree && nowS >= campaignAtS) {
            return act(leaseId == 0 ? Step.CREATE_LEASE : Step.CAMPAIGN);
        }
        if (!keyFree && nowS >= nextLookS) {
            nextLookS = nowS + Constants.LEADER_KEY_POLL_MS / 1000.0;
            return act(Step.READ_LEADER_KEY);
        }
        return Step.NONE;
    }

    private Step act(Step s) {
        busy = true;
        return s;
    }

    /** The leader key was read; {@code who} null means there is none. {@code random} in [0,1). */
    public void onLeaderKeyRead(
            double nowS, String currentLeader, String leaderNonce, long currentLeaseId, long revision, double random) {
        busy = false;
        if (leading) {
            return;
        }
        if (currentLeader == null) {
            free(nowS, random);
            return;
        }
        keyFree = false;
        leaderKeyRevision = revision;
        leaderLabel = currentLeader.equals(label) ? null : currentLeader;
        leaderLeaseId = currentLeaseId;
        if (!currentLeader.equals(label)) {
            return;
        }
        if (nonce.equals(leaderNonce) && currentLeaseId == leaseId) {
            won(nowS, revision); // a campaign whose answer was lost
        } else {
            // An earlier process of this label is dead, or we would not run: no need to wait for its lease.
            oldLeaseId = currentLeaseId;
        }
    }

    /** The key was seen to vanish. */
    public void onLeaderKeyDeleted(double nowS, double random) {
        if (leading) {
            return;
        }
        free(nowS, random);
    }

    private void free(double nowS, double random) {
        if (!keyFree) {
            campaignAtS = Math.max(nowS + random * Constants.CAMPAIGN_JITTER_MS / 1000.0, resignedUntilS);
        }
        keyFree = true;
        leaderLabel = null;
    }

    /**
     * Gives up leading, as somebody else can do it better: the lease is dropped, so that the others need not wait for
     * its end, and for a while the campaign is theirs.
     */
    public void resign(double nowS) {
        if (!leading) {
            return;
        }
        oldLeaseId = leaseId;
        depose();
        resignedUntilS = nowS + Constants.RESIGNED_CAMPAIGN_PAUSE_S;
    }

    /**
     * The leader's process has ended, by all that its peers can tell: its lease need not be waited for. Should it live
     * after all, it is deposed like any other, as every transaction of its is guarded by the key that goes with the lease.
     */
    public void onLeaderProcessEnded(String endedLabel) {
        if (leading || !endedLabel.equals(leaderLabel) || leaderLeaseId == 0) {
            return;
        }
        oldLeaseId = leaderLeaseId;
        leaderLeaseId = 0;
    }

    /** A step got no usable answer. */
    public void onStepFailed(double nowS) {
        busy = false;
        if (!leading) {
            nextLookS = nowS + Constants.LEADER_KEY_POLL_MS / 1000.0;
            keyFree = false;
            leaseId = 0;
        } else {
            lastRenewS = nowS - Constants.LEADER_RENEW_INTERVAL_MS / 1000.0 * 0.6;
        }
    }

    /** The request to drop the old lease has been answered. */
    public void onOldLeaseRevoked(double nowS) {
        busy = false;
        oldLeaseId = 0;
        nextLookS = nowS;
    }

    /** A lease was opened by a request that was sent at {@code askedS}. */
    public void onLeaseCreated(double sentS, long id) {
        busy = false;
        leaseId = id;
        lastRenewS = sentS;
    }

    /** A campaign was answered; {@code epoch} is the token if it was won. */
    public void onCampaignResponse(double nowS, boolean success, long revision) {
        busy = false;
        if (success) {
            won(nowS, revision);
        } else {
            keyFree = false;
            leaseId = 0;
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

    private double until(double sentS) {
        return sentS + Constants.LEADER_LEASE_MS / 1000.0 * (1 - Constants.MAX_CLOCK_DRIFT) - Constants.TIMING_MARGIN_S;
    }

    /** A renewal was answered; {@code askedS} is when it was sent, the earliest moment from which it counts. */
    public void onRenewalResponse(double sentS, boolean alive) {
        busy = false;
        if (!leading) {
            return;
        }
        if (alive) {
            lastRenewS = sentS;
            validUntilS = until(sentS);
        } else {
            depose();
        }
    }

    /** A guarded transaction failed on the leader key, the lease ended, or a worker knows a higher token. */
    public void depose() {
        leading = false;
        leaseId = 0;
        keyFree = false;
        leaderLabel = null;
        nextLookS = 0;
    }

    /** The revision of another controller's leader key, as last read. */
    public long leaderKeyRevision() {
        return leaderKeyRevision;
    }
}
