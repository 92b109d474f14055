package org.mountlug.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Controllers whose processes are paused for seconds or minutes while their clocks run on. */
class PausedControllerTest {
    private static String id(int number) {
        return String.format("wk-%06d", number);
    }

    /**
     * Requests that waited in a socket for longer than any user waits get 503 at once and have no effect; later requests
     * are answered with what happened during the pause.
     */
    @ParameterizedTest(name = "leader {0}, paused for {1} s")
    @CsvSource({"true, 8", "true, 65", "true, 130", "false, 8", "false, 65", "false, 130"})
    void staleRequestsAreRejectedAfterAPause(boolean pauseLeader, double pauseS) {
        SimulatedCluster cluster = new SimulatedCluster(3);
        cluster.taskDurationS = 3;
        cluster.submitUntilAccepted(id(1), 4, false);
        cluster.submitUntilAccepted(id(2), 40, false);
        assertTrue(cluster.runUntil(60, () -> cluster.isRunning(id(2))));
        SimulatedCluster.ControllerProcess paused = pauseLeader
                ? cluster.leader()
                : cluster.controllers.stream()
                        .filter(controller -> controller != cluster.leader())
                        .findFirst()
                        .orElseThrow();
        assertEquals(200, paused.poll(id(1)).get("code"));
        paused.pause(pauseS);
        double resumesAtS = cluster.nowS + pauseS;
        List<Map<String, Object>> responses = new ArrayList<>();
        List<Double> responseTimesS = new ArrayList<>();
        java.util.function.Consumer<Map<String, Object>> recordResponse = response -> {
            responses.add(response);
            responseTimesS.add(cluster.nowS);
        };
        cluster.schedule(1, () -> {
            paused.requestAsyncThroughSocket("poll", id(1), reply -> paused.users.poll(id(1), reply), recordResponse);
            paused.requestAsyncThroughSocket(
                    "cancellation", id(2), reply -> paused.users.cancel(id(2), reply), recordResponse);
            paused.requestAsyncThroughSocket(
                    "submission",
                    null,
                    reply -> paused.users.submit(cluster.newSubmission(id(3), 2), reply),
                    recordResponse);
        });
        cluster.runFor(pauseS + 0.1);
        assertEquals(3, responses.size());
        for (int i = 0; i < 3; i++) {
            assertEquals(503, responses.get(i).get("code"));
            assertTrue(responseTimesS.get(i) < resumesAtS + 0.01, "refused at once");
        }
        assertNull(cluster.stateService.value("j/" + id(3)), "a submission whose user no longer waits is not accepted");
        cluster.runFor(2);
        assertEquals("done", paused.poll(id(1)).get("status"));
        assertNotEquals("withdrawn", paused.poll(id(2)).get("status"));
        assertEquals(201, paused.submit(id(3), 2, false).get("code"));
        cluster.runUntilSettled(200);
        assertEquals(List.of(), cluster.violations());
    }

    /**
     * A leader process is paused at any time or between a decision and the request that carries it out: another controller
     * leads within the leader lease, the late request has no effect, and the old leader does not act on its outdated state.
     */
    @ParameterizedTest(name = "at {0} for {1} s, a job cancelled meanwhile {2}")
    @CsvSource({
        "any time, 65, false",
        "any time, 130, true",
        "/commands, 65, false",
        "/commands, 65, true",
        "/multi, 65, true",
        "/multi, 130, false",
        "/holds, 65, true",
        "/hosts, 65, false",
    })
    void aLeaderPausedForAMinuteDoesNoHarm(String pausePoint, double pauseS, boolean cancelled) {
        SimulatedCluster cluster = new SimulatedCluster(3);
        cluster.taskDurationS = 40;
        cluster.submitUntilAccepted(id(1), 12, false);
        cluster.submitUntilAccepted(id(2), 4, true);
        assertTrue(cluster.runUntil(60, () -> cluster.isRunning(id(1))));
        SimulatedCluster.ControllerProcess oldLeader = cluster.leader();
        long token = oldLeader.token();
        if (pausePoint.equals("any time")) {
            oldLeader.pause(pauseS);
        } else {
            oldLeader.pauseBeforePath = pausePoint;
            oldLeader.pauseDurationS = pauseS;
        }
        SimulatedCluster.ControllerProcess follower = cluster.controllers.stream()
                .filter(controller -> controller != oldLeader)
                .findFirst()
                .orElseThrow();
        follower.submit(id(3), 30, false);
        follower.submit(id(4), 4, true);
        if (!pausePoint.equals("any time")) {
            assertTrue(cluster.runUntil(20, () -> oldLeader.pausedUntilS > cluster.nowS), "the leader is paused");
        }
        assertTrue(
                cluster.runUntil(
                        6, () -> cluster.leader() != null && cluster.leader().token() > token),
                "another controller leads");
        assertNotNull(cluster.leader());
        if (cancelled) {
            assertTrue(cluster.runUntil(
                    30,
                    () -> "withdrawn"
                            .equals(String.valueOf(follower.cancel(id(1)).get("status")))));
        }
        cluster.runFor(pauseS + 5);
        assertTrue(cluster.leader() != oldLeader || cluster.leader().token() > token, "the old term is over");
        cluster.runUntilSettled(200);
        assertEquals(List.of(), cluster.violations());
    }
}
