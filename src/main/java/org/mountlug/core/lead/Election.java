package org.mountlug.core.lead;

import org.mountlug.Constants;

/**
 * State machine of the leader election. A controller leads while the leader key, which is bound to its lease in the state
 * service, is its own. The revision of the key is the fencing token: renewals of the lease keep it, every new term raises
 * it. The caller carries out the steps that {@link #nextStep} returns and reports their outcomes. All times are monotonic
 * seconds.
 */
public final class Election {
    /** A request to the state service that the caller has to send. */
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
    private boolean stepPending;
    private boolean leading;
    private long token;
    private long leaseId;
    private double validUntilS = Double.NEGATIVE_INFINITY;
    private double lastRenewS;
    private boolean leaderKeyFree;
    private double campaignAtS;
    private double nextKeyReadS;
    private String leaderLabel;
    private long leaderKeyRevision;
    private long oldLeaseId;
    /** Lease of the leader as last read; 0 if it is to be revoked because the leader's process has ended. */
    private long leaderLeaseId;

    private double resignedUntilS = Double.NEGATIVE_INFINITY;

    /**
     * Creates the election state of a controller that does not lead.
     *
     * @param label name of the controller, the same after a restart
     * @param nonce distinguishes this process from earlier ones with the same label
     */
    public Election(String label, String nonce) {
        this.label = label;
        this.nonce = nonce;
    }

    /** Whether this controller was elected and has not been deposed since; its leader lease may have ended unnoticed. */
    public boolean isLeading() {
        return leading;
    }

    /** Returns the fencing token of this controller's current or last term, or 0 if it never led. */
    public long token() {
        return token;
    }

    /** Returns the lease that this controller has created, or 0 if there is none. */
    public long leaseId() {
        return leaseId;
    }

    /** Returns the lease that must be revoked before this controller campaigns, or 0 if there is none. */
    public long oldLeaseId() {
        return oldLeaseId;
    }

    /** Returns the value that distinguishes this process from others with the same label. */
    public String nonce() {
        return nonce;
    }

    /** Returns the label of the leader as last seen, or null if none is known. */
    public String leaderLabel() {
        return leading ? label : leaderLabel;
    }

    /** Whether this controller certainly holds the leader lease at the given time; otherwise it must not start tasks. */
    public boolean isLeaseHeld(double nowS) {
        return leading && nowS < validUntilS;
    }

    /** Returns the step to take now; returns {@code NONE} until the outcome of the last step has been reported. */
    public Step nextStep(double nowS) {
        if (stepPending) {
            return Step.NONE;
        }
        if (leading) {
            if (nowS - lastRenewS < Constants.LEADER_RENEW_INTERVAL_MS / 1000.0) {
                return Step.NONE;
            }
            return startStep(Step.RENEW_LEASE);
        }
        if (oldLeaseId != 0) {
            return startStep(Step.REVOKE_OLD_LEASE);
        }
        if (leaderKeyFree && nowS >= campaignAtS) {
            return startStep(leaseId == 0 ? Step.CREATE_LEASE : Step.CAMPAIGN);
        }
        if (!leaderKeyFree && nowS >= nextKeyReadS) {
            nextKeyReadS = nowS + Constants.LEADER_KEY_POLL_MS / 1000.0;
            return startStep(Step.READ_LEADER_KEY);
        }
        return Step.NONE;
    }

    private Step startStep(Step step) {
        stepPending = true;
        return step;
    }

    /**
     * Records the leader key as it was read.
     *
     * @param currentLeader label in the key, or null if the key does not exist
     * @param random random number in [0,1) that delays the next campaign
     */
    public void onLeaderKeyRead(
            double nowS, String currentLeader, String leaderNonce, long currentLeaseId, long revision, double random) {
        stepPending = false;
        if (leading) {
            return;
        }
        if (currentLeader == null) {
            markLeaderKeyFree(nowS, random);
            return;
        }
        leaderKeyFree = false;
        leaderKeyRevision = revision;
        leaderLabel = currentLeader.equals(label) ? null : currentLeader;
        leaderLeaseId = currentLeaseId;
        if (!currentLeader.equals(label)) {
            return;
        }
        if (nonce.equals(leaderNonce) && currentLeaseId == leaseId) {
            startTerm(nowS, revision); // a won campaign whose response was lost
        } else {
            // The key is from an earlier process with this label, which must be dead if this one runs, or from a
            // campaign that this process gave up: its lease is revoked rather than waited for.
            oldLeaseId = currentLeaseId;
        }
    }

    /**
     * Records that the leader key was deleted.
     *
     * @param random random number in [0,1) that delays the next campaign
     */
    public void onLeaderKeyDeleted(double nowS, double random) {
        if (leading) {
            return;
        }
        markLeaderKeyFree(nowS, random);
    }

    private void markLeaderKeyFree(double nowS, double random) {
        if (!leaderKeyFree) {
            campaignAtS = Math.max(nowS + random * Constants.CAMPAIGN_JITTER_MS / 1000.0, resignedUntilS);
        }
        leaderKeyFree = true;
        leaderLabel = null;
    }

    /**
     * Ends this controller's term in favour of a peer: the lease is revoked, so that peers need not wait for its end, and
     * this controller does not campaign for {@code RESIGNED_CAMPAIGN_PAUSE_S}.
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
     * Records that the leader's process has ended as far as its peers can tell, so that its lease is revoked rather than
     * waited for. If the process still runs, it is deposed by its next transaction, since every transaction of a leader is
     * guarded by the leader key, which is deleted with the lease.
     */
    public void onLeaderProcessEnded(String endedLabel) {
        if (leading || !endedLabel.equals(leaderLabel) || leaderLeaseId == 0) {
            return;
        }
        oldLeaseId = leaderLeaseId;
        leaderLeaseId = 0;
    }

    /**
     * Records that a step got no usable response. A leader retries its renewal after 0.4 of the renewal interval; other
     * controllers read the leader key again after the poll interval.
     */
    public void onStepFailed(double nowS) {
        stepPending = false;
        if (!leading) {
            nextKeyReadS = nowS + Constants.LEADER_KEY_POLL_MS / 1000.0;
            leaderKeyFree = false;
            leaseId = 0;
        } else {
            lastRenewS = nowS - Constants.LEADER_RENEW_INTERVAL_MS / 1000.0 * 0.6;
        }
    }

    /** Records that the request to revoke the old lease was answered. */
    public void onOldLeaseRevoked(double nowS) {
        stepPending = false;
        oldLeaseId = 0;
        nextKeyReadS = nowS;
    }

    /**
     * Records that a lease was created.
     *
     * @param sentS time at which the request was sent
     */
    public void onLeaseCreated(double sentS, long id) {
        stepPending = false;
        leaseId = id;
        lastRenewS = sentS;
    }

    /**
     * Records the outcome of a campaign.
     *
     * @param revision revision of the leader key if the campaign was won, which becomes the fencing token
     */
    public void onCampaignResponse(double nowS, boolean success, long revision) {
        stepPending = false;
        if (success) {
            startTerm(nowS, revision);
        } else {
            leaderKeyFree = false;
            leaseId = 0;
            nextKeyReadS = nowS;
        }
    }

    private void startTerm(double nowS, long revision) {
        leading = true;
        token = revision;
        leaderKeyFree = false;
        // The lease was created at lastRenewS or later, so its duration is counted from there.
        validUntilS = leaseValidUntilS(lastRenewS);
    }

    /** Returns the time until which a lease requested at {@code sentS} is certainly held, given clock drift and a margin. */
    private double leaseValidUntilS(double sentS) {
        return sentS + Constants.LEADER_LEASE_MS / 1000.0 * (1 - Constants.MAX_CLOCK_DRIFT) - Constants.TIMING_MARGIN_S;
    }

    /**
     * Records the outcome of a renewal.
     *
     * @param sentS time at which the request was sent, from which the renewed lease is counted
     * @param alive whether the lease still existed
     */
    public void onRenewalResponse(double sentS, boolean alive) {
        stepPending = false;
        if (!leading) {
            return;
        }
        if (alive) {
            lastRenewS = sentS;
            validUntilS = leaseValidUntilS(sentS);
        } else {
            depose();
        }
    }

    /** Ends this controller's term: a transaction failed on the leader key, the lease ended or a worker has a higher token. */
    public void depose() {
        leading = false;
        leaseId = 0;
        leaderKeyFree = false;
        leaderLabel = null;
        nextKeyReadS = 0;
    }

    /** Returns the revision of another controller's leader key as last read. */
    public long leaderKeyRevision() {
        return leaderKeyRevision;
    }
}
