package org.mountlug.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.mountlug.core.lead.Election;

/** Tests the leader election: when a controller leads, with which token, and how long it certainly holds its lease. */
class ElectionTest {
    private final Election election = new Election("x", "n1");

    private void winElection(double nowS, long token) {
        assertEquals(Election.Step.READ_LEADER_KEY, election.nextStep(nowS));
        election.onLeaderKeyRead(nowS, null, null, 0, 0, 0);
        assertEquals(Election.Step.CREATE_LEASE, election.nextStep(nowS));
        election.onLeaseCreated(nowS, 5);
        assertEquals(Election.Step.CAMPAIGN, election.nextStep(nowS));
        election.onCampaignResponse(nowS, true, token);
    }

    @Test
    void tokenIsTheRevisionOfTheLeaderKey() {
        winElection(1, 42);
        assertTrue(election.isLeading());
        assertEquals(42, election.token());
    }

    /** The lease may have been renewed at any time after the request was sent, so its duration counts from the sending. */
    @Test
    void leaseIsHeldFromTheTimeWhenItsRenewalWasSent() {
        winElection(1, 42);
        assertTrue(election.isLeaseHeld(4));
        assertFalse(election.isLeaseHeld(5));
        assertEquals(Election.Step.RENEW_LEASE, election.nextStep(4));
        election.onRenewalResponse(4, true);
        assertTrue(election.isLeaseHeld(7));
        assertFalse(election.isLeaseHeld(8));
    }

    @Test
    void leaderWhoseLeaseEndedIsDeposed() {
        winElection(1, 42);
        election.nextStep(4);
        election.onRenewalResponse(4, false);
        assertFalse(election.isLeading());
    }

    /** The campaign's write may have succeeded, so the key is read again; its lease is given up and revoked. */
    @Test
    void campaignWithoutResponseIsNotWonAndItsLeaseIsRevoked() {
        election.nextStep(1);
        election.onLeaderKeyRead(1, null, null, 0, 0, 0);
        election.nextStep(1);
        election.onLeaseCreated(1, 5);
        election.nextStep(1);
        election.onStepFailed(2);
        assertFalse(election.isLeading());
        assertEquals(Election.Step.READ_LEADER_KEY, election.nextStep(3));
        election.onLeaderKeyRead(3, "x", "n1", 5, 42, 0);
        assertFalse(election.isLeading());
        assertEquals(Election.Step.REVOKE_OLD_LEASE, election.nextStep(3));
    }

    /** An earlier process with the same label is dead, so its lease is revoked rather than waited for. */
    @Test
    void leaseOfAnEarlierProcessWithTheSameLabelIsRevoked() {
        election.nextStep(1);
        election.onLeaderKeyRead(1, "x", "n0", 3, 40, 0);
        assertEquals(Election.Step.REVOKE_OLD_LEASE, election.nextStep(1));
        election.onOldLeaseRevoked(1.1);
        assertEquals(Election.Step.READ_LEADER_KEY, election.nextStep(1.2));
    }

    @Test
    void leaseOfAnEndedLeaderIsRevokedOnce() {
        election.nextStep(1);
        election.onLeaderKeyRead(1, "y", "n9", 3, 40, 0);
        election.onLeaderProcessEnded("z");
        assertEquals(Election.Step.NONE, election.nextStep(1.1));
        election.onLeaderProcessEnded("y");
        assertEquals(Election.Step.REVOKE_OLD_LEASE, election.nextStep(1.1));
        assertEquals(3, election.oldLeaseId());
        election.onOldLeaseRevoked(1.2);
        election.onLeaderProcessEnded("y");
        assertEquals(Election.Step.READ_LEADER_KEY, election.nextStep(1.2));
    }

    /** A leader that resigns revokes its lease at once and campaigns again only after a pause, so that a peer can win. */
    @Test
    void resignedLeaderPausesBeforeItsNextCampaign() {
        winElection(1, 42);
        election.resign(20);
        assertFalse(election.isLeading());
        assertEquals(Election.Step.REVOKE_OLD_LEASE, election.nextStep(20));
        election.onOldLeaseRevoked(20.1);
        assertEquals(Election.Step.READ_LEADER_KEY, election.nextStep(20.1));
        election.onLeaderKeyRead(20.1, null, null, 0, 0, 0);
        assertEquals(Election.Step.NONE, election.nextStep(29.9));
        assertEquals(Election.Step.CREATE_LEASE, election.nextStep(30));
    }

    @Test
    void followerKnowsTheLeadersLabel() {
        election.nextStep(1);
        election.onLeaderKeyRead(1, "y", "n9", 3, 40, 0);
        assertEquals("y", election.leaderLabel());
        assertEquals(Election.Step.NONE, election.nextStep(1.1));
    }
}
