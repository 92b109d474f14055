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
        world.runS = 3;
        world.accept(id(1), 4, false);
        world.accept(id(2), 40, false);
        assertTrue(world.until(60, () -> world.runs(id(2))));
        SimulatedCluster.Node paused = leader
                ? world.leader()
                : world.nodes.stream()
                        .filter(n -> n != world.leader())
                        .findFirst()
                        .orElseThrow();
        assertEquals(200, paused.poll(id(1)).get("code"));
        paused.freeze(pauseS);
        double until = world.now + pauseS;
        List<Map<String, Object>> answers = new ArrayList<>();
        List<Double> times = new ArrayList<>();
        java.util.function.Consumer<Map<String, Object>> note = answer -> {
            answers.add(answer);
            times.add(world.now);
        };
        world.in(1, () -> {
            paused.askThroughSocket("poll", id(1), r -> paused.users.poll(id(1), r), note);
            paused.askThroughSocket("abort", id(2), r -> paused.users.abort(id(2), r), note);
            paused.askThroughSocket("submission", null, r -> paused.users.submit(world.submission(id(3), 2), r), note);
        });
        world.run(pauseS + 0.1);
        assertEquals(3, answers.size());
        for (int i = 0; i < 3; i++) {
            assertEquals(503, answers.get(i).get("code"));
            assertTrue(times.get(i) < until + 0.01, "at once");
        }
        assertNull(world.state.value("j/" + id(3)), "what nobody waits for any more is not taken in");
        world.run(2);
        assertEquals("done", paused.poll(id(1)).get("status"));
        assertNotEquals("withdrawn", paused.poll(id(2)).get("status"));
        assertEquals(201, paused.submit(id(3), 2, false).get("code"));
        world.settle(200);
        assertEquals(List.of(), world.broken());
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
        world.runS = 40;
        world.accept(id(1), 12, false);
        world.accept(id(2), 4, true);
        assertTrue(world.until(60, () -> world.runs(id(1))));
        SimulatedCluster.Node old = world.leader();
        long token = old.token();
        if (at.equals("any time")) {
            old.freeze(pauseS);
        } else {
            old.freezeAt = at;
            old.freezeForS = pauseS;
        }
        SimulatedCluster.Node other =
                world.nodes.stream().filter(n -> n != old).findFirst().orElseThrow();
        other.submit(id(3), 30, false);
        other.submit(id(4), 4, true);
        if (!at.equals("any time")) {
            assertTrue(world.until(20, () -> old.frozenUntil > world.now), "it stands still");
        }
        assertTrue(world.until(6, () -> world.leader() != null && world.leader().token() > token), "another leads");
        assertNotNull(world.leader());
        if (cancelled) {
            assertTrue(world.until(
                    30,
                    () -> "withdrawn".equals(String.valueOf(other.abort(id(1)).get("status")))));
        }
        world.run(pauseS + 5);
        assertTrue(world.leader() != old || world.leader().token() > token, "the old term is over");
        world.settle(200);
        assertEquals(List.of(), world.broken());
    }
}
