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

/** Tests leader changes and responses to users while controllers reach only some of the state service, peers and workers. */
class ConnectivityTest {
    private static String jobId(int number) {
        return String.format("wk-%06d", number);
    }

    /**
     * A peer that reaches everything takes over, whatever the leader has lost, and the leader changes only once. A worker
     * lease that is long enough for a second attempt to report must not expire in the meantime.
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
        "nothing, 5, 22",
    })
    void aLeaderWithFewerConnectionsIsReplaced(String reachable, int controllers, double leaseS) {
        SimulatedCluster cluster = new SimulatedCluster(controllers, List.of(new Team("t", 0, 0, 0, 0, 1)), leaseS);
        cluster.taskDurationS = 100;
        cluster.submitUntilAccepted(jobId(1), 16, false);
        assertTrue(cluster.runUntil(60, () -> countStarts(cluster) == 16));
        cluster.runFor(15);
        SimulatedCluster.ControllerProcess oldLeader = cluster.leader();
        switch (reachable) {
            case "state service only" -> oldLeader.cutFromWorkers = oldLeader.cutFromPeers = true;
            case "state service, peers refuse" -> oldLeader.cutFromWorkers = cluster.peersRefuseConnections = true;
            case "state service and peers" -> oldLeader.cutFromWorkers = true;
            case "peers only" -> {
                oldLeader.cutFromWorkers = true;
                oldLeader.stateLink = FakeStateService.Link.PARTITIONED;
            }
            case "workers only" -> {
                oldLeader.cutFromPeers = true;
                oldLeader.stateLink = FakeStateService.Link.PARTITIONED;
            }
            case "all but the state service" -> oldLeader.stateLink = FakeStateService.Link.REFUSED;
            default -> {
                oldLeader.cutFromPeers = oldLeader.cutFromWorkers = true;
                oldLeader.stateLink = FakeStateService.Link.PARTITIONED;
            }
        }
        cluster.schedule(60, () -> {
            oldLeader.cutFromWorkers = oldLeader.cutFromPeers = cluster.peersRefuseConnections = false;
            oldLeader.stateLink = FakeStateService.Link.HEALTHY;
        });
        Set<Long> tokens = new HashSet<>();
        cluster.onTermStart.add(newLeader -> tokens.add(newLeader.token()));
        assertTrue(
                cluster.runUntil(15, () -> cluster.leader() != null && cluster.leader() != oldLeader), "a peer leads");
        cluster.runFor(80);
        assertEquals(1, tokens.size(), "number of new terms");
        if (leaseS > 20) {
            assertEquals(16, countStarts(cluster), "no task was started again");
        }
        cluster.runUntilSettled(150);
        assertEquals(List.of(), cluster.violations());
    }

    /**
     * A worker with a short lease has time for only one more attempt to report. Followers that know from the leader's own
     * status that no reports reach it must not redirect workers to it, where that attempt would time out.
     */
    @ParameterizedTest(name = "{0} controllers, cut {1} s after a report")
    @CsvSource({"3, 0.1", "3, 0.9", "5, 0.4", "7, 0.1", "7, 0.6", "7, 1.2", "7, 1.7"})
    void workersWithAShortLeaseReachANewLeaderInTime(int controllers, double offsetS) {
        SimulatedCluster cluster = new SimulatedCluster(controllers, List.of(new Team("t", 0, 0, 0, 0, 1)), 10);
        cluster.taskDurationS = 100;
        cluster.submitUntilAccepted(jobId(1), 48, false, Map.of("dueS", 110.0));
        assertTrue(cluster.runUntil(60, () -> countStarts(cluster) == 48));
        cluster.runFor(15 + offsetS);
        SimulatedCluster.ControllerProcess oldLeader = cluster.leader();
        oldLeader.cutFromWorkers = true;
        cluster.schedule(37, () -> oldLeader.cutFromWorkers = false);
        cluster.runFor(40);
        assertTrue(cluster.leader() != oldLeader, "a peer leads");
        assertEquals(48, countStarts(cluster), "no task was started again");
        cluster.runUntilSettled(200);
        assertEquals(List.of(), cluster.violations());
    }

    /** A leader keeps its term if only connections between controllers are refused or if no controller gets reports. */
    @ParameterizedTest(name = "{0}")
    @CsvSource({"peers refuse", "machines cut off", "machines cut off and peers refuse"})
    void aLeaderStaysWhenNoPeerReachesMoreWorkers(String fault) {
        SimulatedCluster cluster = new SimulatedCluster(3, List.of(new Team("t", 0, 0, 0, 0, 1)), 22);
        cluster.taskDurationS = 60;
        cluster.submitUntilAccepted(jobId(1), 16, false);
        assertTrue(cluster.runUntil(60, () -> countStarts(cluster) == 16));
        cluster.runFor(15);
        long token = cluster.leader().token();
        cluster.peersRefuseConnections = fault.contains("peers refuse");
        cluster.workers.values().forEach(worker -> worker.disconnected = fault.startsWith("machines"));
        cluster.runFor(18);
        cluster.workers.values().forEach(worker -> worker.disconnected = false);
        cluster.runFor(15);
        cluster.peersRefuseConnections = false;
        assertEquals(token, cluster.leader().token());
        cluster.runUntilSettled(150);
        assertEquals(List.of(), cluster.violations());
    }

    /** A controller that does not reach the state service answers polls within 2 s, correctly or with 503. */
    @ParameterizedTest(name = "leader {0}, state service {1}")
    @CsvSource({"true, REFUSED", "true, PARTITIONED", "false, REFUSED", "false, PARTITIONED"})
    void usersGetAResponseWithoutTheStateService(boolean atLeader, FakeStateService.Link link) {
        SimulatedCluster cluster = new SimulatedCluster(3);
        cluster.submitUntilAccepted(jobId(1), 4, false);
        cluster.runFor(10);
        SimulatedCluster.ControllerProcess controller = atLeader
                ? cluster.leader()
                : cluster.controllers.stream()
                        .filter(candidate -> candidate != cluster.leader())
                        .findFirst()
                        .orElseThrow();
        controller.stateLink = link;
        for (int i = 0; i < 5; i++) {
            double polledAtS = cluster.nowS;
            Map<String, Object> response = controller.poll(jobId(1));
            assertTrue(response != null && List.of(200, 503).contains(response.get("code")), String.valueOf(response));
            assertTrue(cluster.nowS - polledAtS < 2.0, "answered within 2 s, after which users hang up");
            cluster.runFor(2);
        }
        controller.stateLink = FakeStateService.Link.HEALTHY;
        cluster.runUntilSettled(120);
        assertEquals(List.of(), cluster.violations());
    }

    private static int countStarts(SimulatedCluster cluster) {
        return cluster.workers.values().stream()
                .mapToInt(worker -> worker.startCount)
                .sum();
    }
}
