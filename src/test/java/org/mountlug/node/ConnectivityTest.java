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
        world.runS = 100;
        world.accept(id(1), 16, false);
        assertTrue(world.until(60, () -> starts(world) == 16));
        world.run(15);
        SimulatedCluster.Node old = world.leader();
        switch (reaches) {
            case "state service only" -> old.cutFromWorkers = old.cutFromPeers = true;
            case "state service, peers refuse" -> old.cutFromWorkers = world.peersRefuse = true;
            case "state service and peers" -> old.cutFromWorkers = true;
            case "peers only" -> {
                old.cutFromWorkers = true;
                old.link = StateStandIn.Link.SILENT;
            }
            case "workers only" -> {
                old.cutFromPeers = true;
                old.link = StateStandIn.Link.SILENT;
            }
            case "all but the state service" -> old.link = StateStandIn.Link.REFUSED;
            default -> {
                old.cutFromPeers = old.cutFromWorkers = true;
                old.link = StateStandIn.Link.SILENT;
            }
        }
        world.in(60, () -> {
            old.cutFromWorkers = old.cutFromPeers = world.peersRefuse = false;
            old.link = StateStandIn.Link.GOOD;
        });
        Set<Long> tokens = new HashSet<>();
        world.onLead.add(node -> tokens.add(node.token()));
        assertTrue(world.until(15, () -> world.leader() != null && world.leader() != old), "another one leads");
        world.run(80);
        assertEquals(1, tokens.size(), "the lead moved once");
        if (leaseS > 20) {
            assertEquals(16, starts(world), "nothing was lost");
        }
        world.settle(150);
        assertEquals(List.of(), world.broken());
    }

    /**
     * With a short lease a worker has one second try. Followers that know from the leader itself that it hears nobody do not
     * send workers back to it, where they would wait out that try in vain.
     */
    @ParameterizedTest(name = "{0} controllers, cut {1} s after a report")
    @CsvSource({"3, 0.1", "3, 0.9", "5, 0.4", "7, 0.1", "7, 0.6", "7, 1.2", "7, 1.7"})
    void aShortLeaseOutlivesALeaderWithoutItsWorkers(int controllers, double offsetS) {
        SimulatedCluster world = new SimulatedCluster(controllers, List.of(new Team("t", 0, 0, 0, 0, 1)), 10);
        world.runS = 100;
        world.accept(id(1), 48, false, Map.of("dueS", 110.0));
        assertTrue(world.until(60, () -> starts(world) == 48));
        world.run(15 + offsetS);
        SimulatedCluster.Node old = world.leader();
        old.cutFromWorkers = true;
        world.in(37, () -> old.cutFromWorkers = false);
        world.run(40);
        assertTrue(world.leader() != old, "another one leads");
        assertEquals(48, starts(world), "nothing was lost");
        world.settle(200);
        assertEquals(List.of(), world.broken());
    }

    /** A filter between the controllers alone, or machines that nobody hears, are no reason to give way. */
    @ParameterizedTest(name = "{0}")
    @CsvSource({"peers refuse", "machines cut off", "machines cut off and peers refuse"})
    void aLeaderThatNobodyCanReplaceGoesOn(String what) {
        SimulatedCluster world = new SimulatedCluster(3, List.of(new Team("t", 0, 0, 0, 0, 1)), 22);
        world.runS = 60;
        world.accept(id(1), 16, false);
        assertTrue(world.until(60, () -> starts(world) == 16));
        world.run(15);
        long token = world.leader().token();
        world.peersRefuse = what.contains("peers refuse");
        world.workers.values().forEach(worker -> worker.cut = what.startsWith("machines"));
        world.run(18);
        world.workers.values().forEach(worker -> worker.cut = false);
        world.run(15);
        world.peersRefuse = false;
        assertEquals(token, world.leader().token());
        world.settle(150);
        assertEquals(List.of(), world.broken());
    }

    /** Users are answered by whoever is asked, correctly or with 503 at once, while one controller lacks somebody. */
    @ParameterizedTest(name = "leader {0}, state service {1}")
    @CsvSource({"true, REFUSED", "true, SILENT", "false, REFUSED", "false, SILENT"})
    void usersAreAnsweredAtOnceMeanwhile(boolean leader, StateStandIn.Link link) {
        SimulatedCluster world = new SimulatedCluster(3);
        world.accept(id(1), 4, false);
        world.run(10);
        SimulatedCluster.Node node = leader
                ? world.leader()
                : world.nodes.stream()
                        .filter(n -> n != world.leader())
                        .findFirst()
                        .orElseThrow();
        node.link = link;
        for (int i = 0; i < 5; i++) {
            double asked = world.now;
            Map<String, Object> answer = node.poll(id(1));
            assertTrue(answer != null && List.of(200, 503).contains(answer.get("code")), String.valueOf(answer));
            assertTrue(world.now - asked < 2.0, "answered within the user's patience");
            world.run(2);
        }
        node.link = StateStandIn.Link.GOOD;
        world.settle(120);
        assertEquals(List.of(), world.broken());
    }

    private static int starts(SimulatedCluster world) {
        return world.workers.values().stream().mapToInt(worker -> worker.starts).sum();
    }
}
