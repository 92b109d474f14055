package org.mountlug.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mountlug.core.model.Team;

/** A leader that reaches only some of those it needs, while every other controller reaches all. */
class ConnectivityTest {
    private static String id(int number) {
        return String.format("wk-%06d", number);
    }

    /**
     * Whatever the leader has lost, one that has everything takes over before the machines' leases run out, where these are
     * long enough for a worker's second try, and the lead does not go back and forth.
     */
    @ParameterizedTest(name = "reaches {0}, {1} controllers, lease {2} s")
    @CsvSource({
        "state service only, 3, 22",
        "state service only, 7, 22",
        "state service only, 5, 10",
        "'state service, peers refuse', 3, 22",
        "'state service, peers refuse', 7, 10",
        "state service and peers, 5, 22",
        "peers only, 3, 22",
        "workers only, 3, 22",
        "workers only, 7, 10",
        "all but the state service, 3, 22",
        "all but the state service, 7, 10",
        "nobody, 5, 22",
    })
    void aLeaderThatLacksSomebodyGivesWay(String reaches, int controllers, double leaseS) {
        SimulatedCluster world = new SimulatedCluster(controllers, List.of(new Team("t", 0, 0, 0, 0, 1)), leaseS);
        world.taskDurationS = 100;
        world.submitUntilAccepted(id(1), 16, false);
        assertTrue(world.runUntil(60, () -> starts(world) == 16));
        world.runFor(15);
        SimulatedCluster.ControllerProcess old = world.leader();
        switch (reaches) {
            case "state service only" -> old.cutFromWorkers = old.cutFromPeers = true;
            case "state service, peers refuse" -> old.cutFromWorkers = world.peersRefuseConnections = true;
            case "state service and peers" -> old.cutFromWorkers = true;
            case "peers only" -> {
                old.cutFromWorkers = true;
                old.stateLink = FakeStateService.Link.PARTITIONED;
            }
            case "workers only" -> {
                old.cutFromPeers = true;
                old.stateLink = FakeStateService.Link.PARTITIONED;
            }
            case "all but the state service" -> old.stateLink = FakeStateService.Link.REFUSED;
            default -> {
                old.cutFromPeers = old.cutFromWorkers = true;
                old.stateLink = FakeStateService.Link.PARTITIONED;
            }
        }
        world.schedule(60, () -> {
            old.cutFromWorkers = old.cutFromPeers = world.peersRefuseConnections = false;
            old.stateLink = FakeStateService.Link.HEALTHY;
        });
        Set<Long> tokens = new HashSet<>();
        world.onTermStart.add(node -> tokens.add(node.token()));
        assertTrue(world.runUntil(15, () -> world.leader() != null && world.leader() != old), "another one leads");
        world.runFor(80);
        assertEquals(1, tokens.size(), "the lead moved once");
        if (leaseS > 20) {
            assertEquals(16, starts(world), "nothing was lost");
        }
        world.runUntilSettled(150);
        assertEquals(List.of(), world.violations());
    }

    /**
     * With a short lease a worker has one second try. Followers that know from the leader itself that it hears nobody do not
     * send workers back to it, where they would wait out that try in vain.
     */
    @ParameterizedTest(name = "{0} controllers, cut {1} s after a report")
    @CsvSource({"3, 0.1", "3, 0.9", "5, 0.4", "7, 0.1", "7, 0.6", "7, 1.2", "7, 1.7"})
    void aShortLeaseOutlivesALeaderWithoutItsWorkers(int controllers, double offsetS) {
        SimulatedCluster world = new SimulatedCluster(controllers, List.of(new Team("t", 0, 0, 0, 0, 1)), 10);
        world.taskDurationS = 100;
        world.submitUntilAccepted(id(1), 48, false, Map.of("dueS", 110.0));
        assertTrue(world.runUntil(60, () -> starts(world) == 48));
        world.runFor(15 + offsetS);
        SimulatedCluster.ControllerProcess old = world.leader();
        old.cutFromWorkers = true;
        world.schedule(37, () -> old.cutFromWorkers = false);
        world.runFor(40);
        assertTrue(world.leader() != old, "another one leads");
        assertEquals(48, starts(world), "nothing was lost");
        world.runUntilSettled(200);
        assertEquals(List.of(), world.violations());
    }

    /** A filter between the controllers alone, or machines that nobody hears, are no reason to give way. */
    @ParameterizedTest(name = "{0}")
    @CsvSource({"peers refuse", "machines cut off", "machines cut off and peers refuse"})
    void aLeaderThatNobodyCanReplaceGoesOn(String what) {
        SimulatedCluster world = new SimulatedCluster(3, List.of(new Team("t", 0, 0, 0, 0, 1)), 22);
        world.taskDurationS = 60;
        world.submitUntilAccepted(id(1), 16, false);
        assertTrue(world.runUntil(60, () -> starts(world) == 16));
        world.runFor(15);
        long token = world.leader().token();
        world.peersRefuseConnections = what.contains("peers refuse");
        world.workers.values().forEach(worker -> worker.disconnected = what.startsWith("machines"));
        world.runFor(18);
        world.workers.values().forEach(worker -> worker.disconnected = false);
        world.runFor(15);
        world.peersRefuseConnections = false;
        assertEquals(token, world.leader().token());
        world.runUntilSettled(150);
        assertEquals(List.of(), world.violations());
    }

    /** Users are answered by whoever is asked, correctly or with 503 at once, while one controller lacks somebody. */
    @ParameterizedTest(name = "leader {0}, state service {1}")
    @CsvSource({"true, REFUSED", "true, PARTITIONED", "false, REFUSED", "false, PARTITIONED"})
    void usersAreAnsweredAtOnceMeanwhile(boolean leader, FakeStateService.Link link) {
        SimulatedCluster world = new SimulatedCluster(3);
        world.submitUntilAccepted(id(1), 4, false);
        world.runFor(10);
        SimulatedCluster.ControllerProcess node = leader
                ? world.leader()
                : world.controllers.stream()
                        .filter(n -> n != world.leader())
                        .findFirst()
                        .orElseThrow();
        node.stateLink = link;
        for (int i = 0; i < 5; i++) {
            double asked = world.nowS;
            Map<String, Object> answer = node.poll(id(1));
            assertTrue(answer != null && List.of(200, 503).contains(answer.get("code")), String.valueOf(answer));
            assertTrue(world.nowS - asked < 2.0, "answered within the user's patience");
            world.runFor(2);
        }
        node.stateLink = FakeStateService.Link.HEALTHY;
        world.runUntilSettled(120);
        assertEquals(List.of(), world.violations());
    }

    private static int starts(SimulatedCluster world) {
        return world.workers.values().stream()
                .mapToInt(worker -> worker.startCount)
                .sum();
    }
}
