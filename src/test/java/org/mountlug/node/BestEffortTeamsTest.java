package org.mountlug.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mountlug.core.model.Team;

/** A team without a guarantee brings idle work in one huge array or a swarm of small jobs, beside teams with guarantees. */
class BestEffortTeamsTest {
    /** Seconds within which work inside its team's guarantee should run: the aim's 10, and a start's way. */
    private static final double GUARANTEE_S = 14;

    private static String id(int number) {
        return String.format("wk-%06d", number);
    }

    private static SimulatedCluster world() {
        SimulatedCluster world =
                new SimulatedCluster(3, List.of(new Team("t", 24, 40, 0, 0, 1), new Team("guest", 0, 0, 0, 0, 1)), 10);
        world.cloud.capacity = 10;
        return world;
    }

    /** What is inside the guarantee does not wait for the guest's tasks to end. */
    @ParameterizedTest(name = "guest's work: {0}, new leader {1}")
    @CsvSource({"one array, false", "swarm, false", "one array, true", "swarm, true"})
    void aGuaranteeIsKeptBesideAGuest(String kind, boolean newLeader) {
        SimulatedCluster world = world();
        world.taskDurationS = 150;
        fill(world, kind);
        assertTrue(
                world.runUntil(120, () -> world.usedCpus("guest") >= 38),
                "the guest has it all: " + world.usedCpus("guest"));
        world.runFor(5);
        if (newLeader) {
            world.leader().restartAfter(0.3);
            world.runFor(6);
        }
        world.submitUntilAccepted(id(900), 20, false, Map.of("crew", "t", "urgency", "standard", "bookmarkS", 0.0));
        double since = world.nowS;
        assertTrue(world.runUntil(60, () -> world.usedCpus("t") >= 20), "runs " + world.usedCpus("t"));
        assertTrue(world.nowS - since <= GUARANTEE_S, "after " + (world.nowS - since) + " s");
        assertEquals(List.of(), world.violations());
    }

    /** While guaranteed work keeps coming, the guest is served at least half, and its largest job begins in four minutes. */
    @ParameterizedTest(name = "guest's work: {0}")
    @CsvSource({"one array", "swarm"})
    void theGuestIsServedBesideAStreamOfGuaranteedWork(String kind) {
        SimulatedCluster world = world();
        world.taskDurationS = 10;
        // Two thirds of the room, all the time.
        for (int i = 0; i < 60; i++) {
            int number = 500 + i;
            world.schedule(
                    5 + i * 10, () -> world.controllers.get(1).submitAsync(id(number), 24, false, Map.of("crew", "t")));
        }
        world.runFor(30);
        double from = world.nowS;
        Map<String, Double> begun = new HashMap<>();
        fill(world, kind);
        List<String> guests = new ArrayList<>();
        for (String job : world.acceptedJobs()) {
            if (Integer.parseInt(job.substring(3)) < 500) {
                guests.add(job);
            }
        }
        while (world.nowS < from + 480) {
            world.runFor(5);
            for (String job : guests) {
                if (world.startsByJob.containsKey(job)) {
                    begun.putIfAbsent(job, world.nowS - from);
                }
            }
        }
        assertTrue(begun.size() * 2 >= guests.size(), begun.size() + " begun of " + guests.size());
        assertTrue(
                begun.getOrDefault(guests.get(0), 1e9) <= 240, "the largest began after " + begun.get(guests.get(0)));
        world.runUntilSettled(600);
        assertEquals(List.of(), world.violations());
    }

    private static void fill(SimulatedCluster world, String kind) {
        Map<String, Object> idle = Map.of("crew", "guest", "urgency", "idle", "dueS", 30.0);
        if (kind.equals("one array")) {
            world.submitUntilAccepted(id(1), 400, false, idle);
            return;
        }
        for (int i = 1; i <= 120; i++) {
            world.submitUntilAccepted(id(i), 1, false, idle);
        }
    }
}
