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

/**
 * Tests the frames between controllers, and what peers' responses tell a leader about cancellations and ended processes while
 * it cannot use the state service.
 */
class PeerProtocolTest {
    private final PeerView view = new PeerView(List.of("y", "z"), 20);

    private void recordResponse(String peer, double requestedS, long incarnation, boolean truncated) {
        view.recordResponse(
                peer,
                requestedS,
                requestedS + 0.1,
                new PeerCodec.StatusResponse(1, incarnation, false, 3, 0, truncated, List.of()));
    }

    @Test
    void responsesSurviveEncodingAndIncompleteFramesWait() {
        PeerCodec.StatusResponse response =
                new PeerCodec.StatusResponse(5, -9, true, 77, 968, false, List.of("wk-000001", "wk-123456"));
        assertEquals(
                List.of(),
                PeerCodec.readResponse(PeerCodec.nextFrame(PeerCodec.writeResponse(response)))
                        .demand());
        List<QueueDemand> demand = List.of(
                new QueueDemand(new QueueId("warband", "balance-sim"), 70_000, 400, 3),
                new QueueDemand(new QueueId("körförbundet", "n".repeat(200)), 1, 1, 0));
        response = new PeerCodec.StatusResponse(5, -9, true, 77, 968, false, response.cancellations(), demand);
        ByteBuffer frame = PeerCodec.writeResponse(response);
        ByteBuffer incompleteFrame = frame.duplicate().limit(10);
        assertNull(PeerCodec.nextFrame(incompleteFrame));
        assertEquals(response, PeerCodec.readResponse(PeerCodec.nextFrame(frame)));
        assertThrows(
                IllegalArgumentException.class,
                () -> PeerCodec.nextFrame(ByteBuffer.allocate(8).putInt(1 << 20).rewind()));
    }

    /** A list of cancellations that does not fit its frame must be marked as truncated; one that fits arrives whole. */
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
    void cancellationsThatDoNotFitAreMarkedAsTruncated(int idCount, int longestIdChars, boolean truncated) {
        List<String> ids = new java.util.ArrayList<>();
        for (int i = 0; i < idCount; i++) {
            ids.add(String.format("wk-%06d", i));
        }
        if (longestIdChars > 9) {
            ids.set(0, "w".repeat(longestIdChars));
        }
        ByteBuffer frame = PeerCodec.writeResponse(new PeerCodec.StatusResponse(5, -9, true, 77, 968, false, ids));
        assertTrue(frame.remaining() <= PeerCodec.MAX_FRAME_BYTES);
        PeerCodec.StatusResponse response = PeerCodec.readResponse(PeerCodec.nextFrame(frame));
        assertEquals(truncated, response.cancellationsTruncated());
        if (!truncated) {
            assertEquals(ids, response.cancellations());
        } else {
            assertTrue(response.cancellations().size() < idCount && ids.containsAll(response.cancellations()));
        }
    }

    /** Only one of two peers responds, so the other one may have acknowledged cancellations that are not known here. */
    @Test
    void silentPeerConfirmsNoCancellations() {
        recordResponse("y", 9, 1, false);
        recordResponse("y", 12, 1, false);
        assertEquals(10, view.cancellationsKnownUntilS(10, 12.2));
    }

    @Test
    void responsesWithoutAGapAdvanceTheKnownTime() {
        for (int second = 9; second < 20; second++) {
            recordResponse("y", second, 1, false);
            recordResponse("z", second + 0.5, 2, false);
        }
        assertEquals(19, view.cancellationsKnownUntilS(10, 20));
    }

    /** A restarted process has lost its list of cancellations, so its responses confirm nothing before its restart. */
    @Test
    void restartedPeerConfirmsNothingBeforeItsRestart() {
        for (int second = 9; second < 20; second++) {
            recordResponse("y", second, 1, false);
            recordResponse("z", second, second < 14 ? 2 : 3, false);
        }
        assertEquals(10, view.cancellationsKnownUntilS(10, 20));
        assertEquals(19, view.cancellationsKnownUntilS(15, 20));
    }

    /** Cancellations may be missed if a list is truncated, or if they have left the list before the next response. */
    @Test
    void truncatedListOrLongGapInterruptsTheKnownTime() {
        recordResponse("y", 9, 1, false);
        recordResponse("z", 9, 2, false);
        recordResponse("y", 15, 1, true);
        recordResponse("z", 15, 2, false);
        assertEquals(10, view.cancellationsKnownUntilS(10, 16));
        recordResponse("y", 40, 1, false);
        recordResponse("z", 40, 2, false);
        assertEquals(20, view.cancellationsKnownUntilS(20, 41));
    }

    /** A network filter refuses connections too, so refusals must not count as an ended process on their own. */
    @ParameterizedTest(name = "{0}")
    @CsvSource({
        "refused twice and the other peer responds, true",
        "refused once, false",
        "the other peer responded only before, false",
        "responded after the refusals, false",
        "refused long ago, false"
    })
    void peerHasEndedOnlyIfItRefusesWhileOthersRespond(String scenario, boolean ended) {
        recordResponse("z", 9, 2, false);
        view.recordRefusedConnection("y", 10);
        if (!scenario.equals("refused once")) {
            view.recordRefusedConnection("y", 10.3);
        }
        if (!scenario.startsWith("the other peer")) {
            recordResponse("z", 10.2, 2, false);
        }
        if (scenario.startsWith("responded after")) {
            recordResponse("y", 10.4, 1, false);
        }
        assertEquals(ended, view.hasProcessEnded("y", scenario.equals("refused long ago") ? 20 : 10.6));
    }

    /** Report counts of peers that have stopped responding must not be used. */
    @Test
    void peerReportsCountOnlyWhileTheyAreRecent() {
        view.recordResponse("y", 9, 9.1, new PeerCodec.StatusResponse(1, 1, true, 3, 40, false, List.of()));
        view.recordResponse("z", 11, 11.1, new PeerCodec.StatusResponse(2, 2, true, 3, 2, false, List.of()));
        assertEquals(42, view.recentPeerReportCount(11.5));
        assertEquals(2, view.recentPeerReportCount(13));
        assertEquals(0, view.recentPeerReportCount(20));
    }

    /**
     * After a process pause, a leader must not trust its state again before every peer has responded to a request sent after
     * the pause.
     */
    @ParameterizedTest(name = "requests sent at {0} and {1}, pause ended at 10: {2}")
    @CsvSource({"9, 11, false", "11, 9, false", "10, 11, true"})
    void allHaveRespondedOnlyIfEachRequestWasSentSince(double requestToYS, double requestToZS, boolean allResponded) {
        recordResponse("y", requestToYS, 1, false);
        assertFalse(view.haveAllRespondedSince(10));
        recordResponse("z", requestToZS, 2, false);
        assertEquals(allResponded, view.haveAllRespondedSince(10));
    }

    /** A repeated cancellation must keep its single entry and the time of the first one. */
    @Test
    void repeatedCancellationIsListedOnce() {
        for (int second = 5; second < 20; second++) {
            view.recordCancellation("wk-000001", second);
        }
        assertEquals(List.of("wk-000001"), view.recentCancellations(24));
        assertTrue(view.recentCancellations(26).isEmpty());
        view.recordCancellation("wk-000001", 27);
        assertEquals(List.of("wk-000001"), view.recentCancellations(28));
    }

    @Test
    void cancellationsAreListedForTheRetentionTime() {
        view.recordCancellation("wk-000001", 5);
        assertEquals(List.of("wk-000001"), view.recentCancellations(24));
        assertTrue(view.recentCancellations(26).isEmpty());
        assertFalse(view.isStateAvailableToAnyPeer(5));
    }
}
