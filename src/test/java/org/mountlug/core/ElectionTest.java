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
        assertEquals(Election.Step.LOOK, e.next(now));
        e.looked(now, null, null, 0, 0, 0);
        assertEquals(Election.Step.OPEN_LEASE, e.next(now));
        e.leaseOpened(now, 5);
        assertEquals(Election.Step.CAMPAIGN, e.next(now));
        e.campaigned(now, true, epoch);
    }

    @Test
    void theTokenIsTheRevisionOfTheKey() {
        win(1, 42);
        assertTrue(e.leading());
        assertEquals(42, e.token());
    }

    @Test
    void aHoldIsProvenOnlyFromWhenItsRenewalWasAsked() {
        win(1, 42);
        assertTrue(e.proven(4));
        assertFalse(e.proven(5));
        assertEquals(Election.Step.RENEW, e.next(4));
        e.renewed(4, true);
        assertTrue(e.proven(7));
        assertFalse(e.proven(8));
    }

    @Test
    void anEndedHoldDeposes() {
        win(1, 42);
        e.next(4);
        e.renewed(4, false);
        assertFalse(e.leading());
    }

    @Test
    void aCampaignWhoseAnswerWasLostIsNotWonBlindly() {
        e.next(1);
        e.looked(1, null, null, 0, 0, 0);
        e.next(1);
        e.leaseOpened(1, 5);
        e.next(1);
        e.failed(2);
        assertFalse(e.leading());
        assertEquals(Election.Step.LOOK, e.next(3));
        e.looked(3, "x", "n1", 5, 42, 0);
        assertFalse(e.leading());
        assertEquals(Election.Step.DROP_OLD_LEASE, e.next(3));
    }

    @Test
    void anEarlierProcessOfThisNodeIsDead() {
        e.next(1);
        e.looked(1, "x", "n0", 3, 40, 0);
        assertEquals(Election.Step.DROP_OLD_LEASE, e.next(1));
        e.oldLeaseDropped(1.1);
        assertEquals(Election.Step.LOOK, e.next(1.2));
    }

    @Test
    void theHoldOfALeaderThatHasEndedIsGivenUpOnce() {
        e.next(1);
        e.looked(1, "y", "n9", 3, 40, 0);
        e.leaderEnded("z");
        assertEquals(Election.Step.NONE, e.next(1.1));
        e.leaderEnded("y");
        assertEquals(Election.Step.DROP_OLD_LEASE, e.next(1.1));
        assertEquals(3, e.oldLease());
        e.oldLeaseDropped(1.2);
        e.leaderEnded("y");
        assertEquals(Election.Step.LOOK, e.next(1.2));
    }

    /** Who gives up drops the hold at once, and comes back only if nobody else has led meanwhile. */
    @Test
    void whoResignsLeavesTheCampaignToTheOthersForAWhile() {
        win(1, 42);
        e.resign(20);
        assertFalse(e.leading());
        assertEquals(Election.Step.DROP_OLD_LEASE, e.next(20));
        e.oldLeaseDropped(20.1);
        assertEquals(Election.Step.LOOK, e.next(20.1));
        e.looked(20.1, null, null, 0, 0, 0);
        assertEquals(Election.Step.NONE, e.next(29.9));
        assertEquals(Election.Step.OPEN_LEASE, e.next(30));
    }

    @Test
    void anotherLeaderIsFollowed() {
        e.next(1);
        e.looked(1, "y", "n9", 3, 40, 0);
        assertEquals("y", e.leader());
        assertEquals(Election.Step.NONE, e.next(1.1));
    }
}
