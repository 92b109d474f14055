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

/** Controllers that stand still for a minute and more while their clocks run on. */
class PausedControllerTest {
    private static String id(int number) {
        return String.format("wk-%06d", number);
    }

    /**
     * Requests that waited in a socket for longer than any user does are shed with 503 at once; nothing of them is carried
     * out, and what is asked afterwards is answered with what happened meanwhile.
     */
    @ParameterizedTest(name = "leader {0}, for {1} s")
    @CsvSource({"true, 8", "true, 65", "true, 130", "false, 8", "false, 65", "false, 130"})
    void staleRequestsAreShedOnReturn(boolean leader, double pauseS) {
        SimulatedCluster world = new SimulatedCluster(3);
        world.taskDurationS = 3;
        world.submitUntilAccepted(id(1), 4, false);
        world.submitUntilAccepted(id(2), 40, false);
        assertTrue(world.runUntil(60, () -> world.isRunning(id(2))));
        SimulatedCluster.ControllerProcess paused = leader
                ? world.leader()
                : world.controllers.stream()
                        .filter(n -> n != world.leader())
                        .findFirst()
                        .orElseThrow();
        assertEquals(200, paused.poll(id(1)).get("code"));
        paused.pause(pauseS);
        double until = world.nowS + pauseS;
        List<Map<String, Object>> answers = new ArrayList<>();
        List<Double> times = new ArrayList<>();
        java.util.function.Consumer<Map<String, Object>> note = answer -> {
            answers.add(answer);
            times.add(world.nowS);
        };
        world.schedule(1, () -> {
            paused.askAsyncThroughSocket("poll", id(1), r -> paused.users.poll(id(1), r), note);
            paused.askAsyncThroughSocket("abort", id(2), r -> paused.users.cancel(id(2), r), note);
            paused.askAsyncThroughSocket(
                    "submission", null, r -> paused.users.submit(world.newSubmission(id(3), 2), r), note);
        });
        world.runFor(pauseS + 0.1);
        assertEquals(3, answers.size());
        for (int i = 0; i < 3; i++) {
            assertEquals(503, answers.get(i).get("code"));
            assertTrue(times.get(i) < until + 0.01, "at once");
        }
        assertNull(world.stateService.value("j/" + id(3)), "what nobody waits for any more is not taken in");
        world.runFor(2);
        assertEquals("done", paused.poll(id(1)).get("status"));
        assertNotEquals("withdrawn", paused.poll(id(2)).get("status"));
        assertEquals(201, paused.submit(id(3), 2, false).get("code"));
        world.runUntilSettled(200);
        assertEquals(List.of(), world.violations());
    }

    /**
     * A leader stands still between a decision and its sending, or at any time: another leads within the lease of the leader
     * key, what is sent late has no effect, and the old leader acts on nothing that it believed.
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
    void aLeaderPausedForAMinuteDoesNoHarm(String at, double pauseS, boolean cancelled) {
        SimulatedCluster world = new SimulatedCluster(3);
        world.taskDurationS = 40;
        world.submitUntilAccepted(id(1), 12, false);
        world.submitUntilAccepted(id(2), 4, true);
        assertTrue(world.runUntil(60, () -> world.isRunning(id(1))));
        SimulatedCluster.ControllerProcess old = world.leader();
        long token = old.token();
        if (at.equals("any time")) {
            old.pause(pauseS);
        } else {
            old.pauseBeforePath = at;
            old.pauseDurationS = pauseS;
        }
        SimulatedCluster.ControllerProcess other =
                world.controllers.stream().filter(n -> n != old).findFirst().orElseThrow();
        other.submit(id(3), 30, false);
        other.submit(id(4), 4, true);
        if (!at.equals("any time")) {
            assertTrue(world.runUntil(20, () -> old.pausedUntilS > world.nowS), "it stands still");
        }
        assertTrue(
                world.runUntil(6, () -> world.leader() != null && world.leader().token() > token), "another leads");
        assertNotNull(world.leader());
        if (cancelled) {
            assertTrue(world.runUntil(
                    30,
                    () -> "withdrawn".equals(String.valueOf(other.cancel(id(1)).get("status")))));
        }
        world.runFor(pauseS + 5);
        assertTrue(world.leader() != old || world.leader().token() > token, "the old term is over");
        world.runUntilSettled(200);
        assertEquals(List.of(), world.violations());
    }
}
