package org.mountlug.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mountlug.core.admit.QueueDemand;
import org.mountlug.core.admit.QueueId;

/** Frames, and what the peers' answers prove to a leader that the state service does not serve. */
class PeerProtocolTest {
    private final PeerView v = new PeerView(List.of("y", "z"), 20);

    private void answer(String peer, double asked, long boot, boolean overflow) {
        v.recordResponse(
                peer, asked, asked + 0.1, new PeerCodec.StatusResponse(1, boot, false, 3, 0, overflow, List.of()));
    }

    @Test
    void framesSurviveAndArriveInPieces() {
        PeerCodec.StatusResponse a =
                new PeerCodec.StatusResponse(5, -9, true, 77, 968, false, List.of("wk-000001", "wk-123456"));
        assertEquals(
                List.of(),
                PeerCodec.readResponse(PeerCodec.nextFrame(PeerCodec.writeResponse(a)))
                        .demand());
        List<QueueDemand> demand = List.of(
                new QueueDemand(new QueueId("warband", "balance-sim"), 70_000, 400, 3),
                new QueueDemand(new QueueId("körförbundet", "n".repeat(200)), 1, 1, 0));
        a = new PeerCodec.StatusResponse(5, -9, true, 77, 968, false, a.cancellations(), demand);
        ByteBuffer whole = PeerCodec.writeResponse(a);
        ByteBuffer part = whole.duplicate().limit(10);
        assertNull(PeerCodec.nextFrame(part));
        assertEquals(a, PeerCodec.readResponse(PeerCodec.nextFrame(whole)));
        assertThrows(
                IllegalArgumentException.class,
                () -> PeerCodec.nextFrame(ByteBuffer.allocate(8).putInt(1 << 20).rewind()));
    }

    /** A list that does not fit its frame says so; one that does is told whole. */
    @ParameterizedTest(name = "{0} ids, one of {1} characters")
    @CsvSource({
        "0, 9, false",
        "120, 9, false",
        "121, 9, false",
        "405, 9, false",
        "407, 9, true",
        "3000, 9, true",
        "2, 128, true",
        "2, 127, false"
    })
    void aListThatDoesNotFitIsToldAsAnOverflow(int ids, int longest, boolean overflow) {
        List<String> l = new java.util.ArrayList<>();
        for (int i = 0; i < ids; i++) {
            l.add(String.format("wk-%06d", i));
        }
        if (longest > 9) {
            l.set(0, "w".repeat(longest));
        }
        ByteBuffer b = PeerCodec.writeResponse(new PeerCodec.StatusResponse(5, -9, true, 77, 968, false, l));
        assertTrue(b.remaining() <= PeerCodec.FRAME_MAX_BYTES);
        PeerCodec.StatusResponse a = PeerCodec.readResponse(PeerCodec.nextFrame(b));
        assertEquals(overflow, a.cancellationsTruncated());
        if (!overflow) {
            assertEquals(l, a.cancellations());
        } else {
            assertTrue(a.cancellations().size() < ids && l.containsAll(a.cancellations()));
        }
    }

    @Test
    void aSilentPeerHasProvenNothing() {
        answer("y", 9, 1, false);
        answer("y", 12, 1, false);
        assertEquals(10, v.cancellationsKnownUntilS(10, 12.2));
    }

    @Test
    void answersWithoutAGapCarryTheViewOn() {
        for (int t = 9; t < 20; t++) {
            answer("y", t, 1, false);
            answer("z", t + 0.5, 2, false);
        }
        assertEquals(19, v.cancellationsKnownUntilS(10, 20));
    }

    @Test
    void aPeerStartedAnewHasProvenNothingForTheTimeBefore() {
        for (int t = 9; t < 20; t++) {
            answer("y", t, 1, false);
            answer("z", t, t < 14 ? 2 : 3, false);
        }
        assertEquals(10, v.cancellationsKnownUntilS(10, 20));
        assertEquals(19, v.cancellationsKnownUntilS(15, 20));
    }

    @Test
    void anOverflowOrALongGapStartsAnew() {
        answer("y", 9, 1, false);
        answer("z", 9, 2, false);
        answer("y", 15, 1, true);
        answer("z", 15, 2, false);
        assertEquals(10, v.cancellationsKnownUntilS(10, 16));
        answer("y", 40, 1, false);
        answer("z", 40, 2, false);
        assertEquals(20, v.cancellationsKnownUntilS(20, 41));
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource({
        "refused twice and the other answers, true",
        "refused once, false",
        "the other answered before only, false",
        "it answered after all, false",
        "long ago, false"
    })
    void aPeerHasEndedOnlyIfItRefusesWhileOthersAnswer(String what, boolean ended) {
        answer("z", 9, 2, false);
        v.recordRefusedConnection("y", 10);
        if (!what.equals("refused once")) {
            v.recordRefusedConnection("y", 10.3);
        }
        if (!what.startsWith("the other")) {
            answer("z", 10.2, 2, false);
        }
        if (what.startsWith("it answered")) {
            answer("y", 10.4, 1, false);
        }
        assertEquals(ended, v.hasProcessEnded("y", what.equals("long ago") ? 20 : 10.6));
    }

    @Test
    void reportsElsewhereCountOnlyWhileTheyAreFresh() {
        v.recordResponse("y", 9, 9.1, new PeerCodec.StatusResponse(1, 1, true, 3, 40, false, List.of()));
        v.recordResponse("z", 11, 11.1, new PeerCodec.StatusResponse(2, 2, true, 3, 2, false, List.of()));
        assertEquals(42, v.recentPeerReportCount(11.5));
        assertEquals(2, v.recentPeerReportCount(13));
        assertEquals(0, v.recentPeerReportCount(20));
    }

    /** Who stood still trusts its belief again only once every peer has answered a question asked since. */
    @ParameterizedTest(name = "asked at {0} and {1}, awake since 10: {2}")
    @CsvSource({"9, 11, false", "11, 9, false", "10, 11, true"})
    void allHaveAnsweredOnlyIfAskedSince(double y, double z, boolean all) {
        answer("y", y, 1, false);
        assertFalse(v.haveAllRespondedSince(10));
        answer("z", z, 2, false);
        assertEquals(all, v.haveAllRespondedSince(10));
    }

    /** Told again and again a job keeps its one place, and the time of its first word. */
    @Test
    void aCancellationToldAgainIsListedOnce() {
        for (int t = 5; t < 20; t++) {
            v.recordCancellation("wk-000001", t);
        }
        assertEquals(List.of("wk-000001"), v.recentCancellations(24));
        assertTrue(v.recentCancellations(26).isEmpty());
        v.recordCancellation("wk-000001", 27);
        assertEquals(List.of("wk-000001"), v.recentCancellations(28));
    }

    @Test
    void abortsAreToldForAWhile() {
        v.recordCancellation("wk-000001", 5);
        assertEquals(List.of("wk-000001"), v.recentCancellations(24));
        assertTrue(v.recentCancellations(26).isEmpty());
        assertFalse(v.isStateAvailableToAnyPeer(5));
    }
}
