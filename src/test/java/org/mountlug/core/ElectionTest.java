package org.mountlug.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.mountlug.core.lead.Election;

/** Terms: who leads, with which token, and for how long that is proven. */
class ElectionTest {
    private final Election e = new Election("x", "n1");

    private void win(double now, long epoch) {
        assertEquals(Election.Step.READ_LEADER_KEY, e.nextStep(now));
        e.onLeaderKeyRead(now, null, null, 0, 0, 0);
        assertEquals(Election.Step.CREATE_LEASE, e.nextStep(now));
        e.onLeaseCreated(now, 5);
        assertEquals(Election.Step.CAMPAIGN, e.nextStep(now));
        e.onCampaignResponse(now, true, epoch);
    }

    @Test
    void theTokenIsTheRevisionOfTheKey() {
        win(1, 42);
        assertTrue(e.isLeading());
        assertEquals(42, e.token());
    }

    @Test
    void aHoldIsProvenOnlyFromWhenItsRenewalWasAsked() {
        win(1, 42);
        assertTrue(e.isLeaseHeld(4));
        assertFalse(e.isLeaseHeld(5));
        assertEquals(Election.Step.RENEW_LEASE, e.nextStep(4));
        e.onRenewalResponse(4, true);
        assertTrue(e.isLeaseHeld(7));
        assertFalse(e.isLeaseHeld(8));
    }

    @Test
    void anEndedHoldDeposes() {
        win(1, 42);
        e.nextStep(4);
        e.onRenewalResponse(4, false);
        assertFalse(e.isLeading());
    }

    @Test
    void aCampaignWhoseAnswerWasLostIsNotWonBlindly() {
        e.nextStep(1);
        e.onLeaderKeyRead(1, null, null, 0, 0, 0);
        e.nextStep(1);
        e.onLeaseCreated(1, 5);
        e.nextStep(1);
        e.onStepFailed(2);
        assertFalse(e.isLeading());
        assertEquals(Election.Step.READ_LEADER_KEY, e.nextStep(3));
        e.onLeaderKeyRead(3, "x", "n1", 5, 42, 0);
        assertFalse(e.isLeading());
        assertEquals(Election.Step.REVOKE_OLD_LEASE, e.nextStep(3));
    }

    @Test
    void anEarlierProcessOfThisNodeIsDead() {
        e.nextStep(1);
        e.onLeaderKeyRead(1, "x", "n0", 3, 40, 0);
        assertEquals(Election.Step.REVOKE_OLD_LEASE, e.nextStep(1));
        e.onOldLeaseRevoked(1.1);
        assertEquals(Election.Step.READ_LEADER_KEY, e.nextStep(1.2));
    }

    @Test
    void theHoldOfALeaderThatHasEndedIsGivenUpOnce() {
        e.nextStep(1);
        e.onLeaderKeyRead(1, "y", "n9", 3, 40, 0);
        e.onLeaderProcessEnded("z");
        assertEquals(Election.Step.NONE, e.nextStep(1.1));
        e.onLeaderProcessEnded("y");
        assertEquals(Election.Step.REVOKE_OLD_LEASE, e.nextStep(1.1));
        assertEquals(3, e.oldLeaseId());
        e.onOldLeaseRevoked(1.2);
        e.onLeaderProcessEnded("y");
        assertEquals(Election.Step.READ_LEADER_KEY, e.nextStep(1.2));
    }

    /** Who gives up drops the hold at once, and comes back only if nobody else has led meanwhile. */
    @Test
    void whoResignsLeavesTheCampaignToTheOthersForAWhile() {
        win(1, 42);
        e.resign(20);
        assertFalse(e.isLeading());
        assertEquals(Election.Step.REVOKE_OLD_LEASE, e.nextStep(20));
        e.onOldLeaseRevoked(20.1);
        assertEquals(Election.Step.READ_LEADER_KEY, e.nextStep(20.1));
        e.onLeaderKeyRead(20.1, null, null, 0, 0, 0);
        assertEquals(Election.Step.NONE, e.nextStep(29.9));
        assertEquals(Election.Step.CREATE_LEASE, e.nextStep(30));
    }

    @Test
    void anotherLeaderIsFollowed() {
        e.nextStep(1);
        e.onLeaderKeyRead(1, "y", "n9", 3, 40, 0);
        assertEquals("y", e.leaderLabel());
        assertEquals(Election.Step.NONE, e.nextStep(1.1));
    }
}
