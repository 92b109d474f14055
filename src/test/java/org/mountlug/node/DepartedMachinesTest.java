package org.mountlug.node;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.mountlug.node.FaultTestSteps.assertSettles;
import static org.mountlug.node.FaultTestSteps.jobId;
import static org.mountlug.node.FaultTestSteps.runUntilStarted;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mountlug.core.model.Team;
import org.mountlug.core.zone.ZoneSettings;
import org.mountlug.settings.OperatorSettings;

/**
 * Machines that are gone while the cloud's machine list lags, around changes of leader: a leader must find out that they
 * are gone although they never report to it, and must not take living machines for gone.
 */
class DepartedMachinesTest {
    /** Seconds within which a job must run that only waits until a leader knows which machines are gone. */
    private static final double RECOVERY_TIMEOUT_S = 60;
    /** Seconds for which living machines are cut off from all controllers. */
    private static final double CUT_OFF_S = 60;

    /** Creates a cluster whose controllers track zones. */
    private static SimulatedCluster createCluster(String zones, double listLagS) {
        OperatorSettings operators = OperatorSettings.defaults().withZones(ZoneSettings.defaults());
        List<Team> teams = List.of(new Team("t", 0, 0, 0, 0, 1));
        SimulatedCluster cluster = new SimulatedCluster(3, teams, 10, false, 8, 8, operators);
        cluster.cloud.zones = List.of((Object[]) zones.split(" "));
        cluster.cloud.listLagS = listLagS;
        return cluster;
    }

    /** Rents machines by an array whose tasks are in a hurry, and runs it until all of its tasks are done. */
    private static SimulatedCluster createIdleCluster(String zones, double listLagS, int tasks) {
        SimulatedCluster cluster = createCluster(zones, listLagS);
        cluster.taskDurationS = 25;
        List<String> jobs = new ArrayList<>();
        for (Object zone : cluster.cloud.zones) {
            jobs.add(jobId(10 + jobs.size()));
            cluster.submitUntilAccepted(jobs.get(jobs.size() - 1), tasks, false, Map.of("dueS", 35.0, "site", zone));
        }
        for (String job : jobs) {
            assertTrue(cluster.runUntil(60, () -> cluster.pollStatus(job, 5).equals("done")));
        }
        assertTrue(cluster.workers.size() >= 5 * jobs.size(), "idle machines remain");
        cluster.taskDurationS = 5;
        return cluster;
    }

    /**
     * Guards against a leader that took idle machines which were returned or taken before its term, and which the lagging list
     * made known to it, for silent ones, and rented no machine any more where most machines seemed silent.
     */
    @ParameterizedTest(name = "zones {0}, list {1} s late, idle machines {2}, the leader ends {3} s later")
    @CsvSource({
        "a, 10, returned, 3",
        "a, 10, returned, 8",
        "a, 20, returned, 3",
        "a, 20, returned, 12",
        "a b, 10, returned, 3",
        "a, 10, taken, 2",
        "a b, 10, taken, 2"
    })
    void aZoneThatLostItsIdleMachinesBeforeAHandoverIsRentedInAgain(
            String zones, double listLagS, String departure, double leaderEndsAfterS) {
        SimulatedCluster cluster = createIdleCluster(zones, listLagS, 24);
        if (departure.equals("taken")) {
            List.copyOf(cluster.workers.values()).forEach(cluster.cloud::take);
        }
        assertTrue(cluster.runUntil(60, () -> cluster.workers.size() <= 1), "idle machines are returned");
        cluster.runFor(leaderEndsAfterS);
        cluster.leader().restartAfter(5);
        cluster.runFor(14);
        cluster.submitUntilAccepted(jobId(1), 8, false, Map.of("site", "a"));
        assertTrue(cluster.runUntil(
                RECOVERY_TIMEOUT_S, () -> cluster.pollStatus(jobId(1), 5).equals("done")));
        assertSettles(cluster, 100);
    }

    /**
     * Guards against tasks that counted as running for ever: a leader knew their machines, which the cloud had taken, from
     * the job records alone.
     */
    @ParameterizedTest(
            name = "{0} of 8 machines taken, zones {1}, list {2} s late, cloud down for {3} s, {4} leader changes, {5}")
    @CsvSource({
        "5, a, 10, 0, 0, array",
        "5, a, 10, 0, 0, gang",
        "8, a, 10, 0, 0, array",
        "8, a b, 10, 0, 0, array",
        "5, a, 10, 40, 0, array",
        "8, a, 10, 0, 4, array",
        "8, a b, 10, 30, 3, array",
        "6, a, 10, 0, 0, service"
    })
    void tasksOnMachinesTakenBeforeAllControllersRestartRunAgain(
            int taken, String zones, double listLagS, double cloudDownS, int leaderChanges, String jobType) {
        SimulatedCluster cluster = createCluster(zones, listLagS);
        cluster.taskDurationS = 90;
        FaultTestSteps.submit(cluster, 1, jobType, 32);
        assertTrue(runUntilStarted(cluster, 32));
        cluster.runFor(30);
        List<SimulatedWorker> workers = new ArrayList<>(cluster.workers.values());
        workers.subList(0, taken).forEach(cluster.cloud::take);
        cluster.runFor(5);
        cluster.controllers.forEach(SimulatedCluster.ControllerProcess::kill);
        cluster.runFor(5);
        cluster.controllers.forEach(SimulatedCluster.ControllerProcess::start);
        cluster.cloud.down = cloudDownS > 0;
        cluster.schedule(cloudDownS, () -> cluster.cloud.down = false);
        for (int i = 1; i <= leaderChanges; i++) {
            cluster.schedule(10 * i, () -> cluster.leader().restartAfter(0.5));
        }
        cluster.runFor(Math.max(cloudDownS, 10 * leaderChanges) + 1);
        assertTrue(
                cluster.runUntil(RECOVERY_TIMEOUT_S, () -> FaultTestSteps.activeTaskCount(cluster, jobId(1)) == 32),
                "all tasks run again");
        cluster.taskDurationS = 5;
        if (jobType.equals("service")) {
            cluster.controllers.get(0).cancel(jobId(1));
        }
        assertSettles(cluster, 150);
    }

    /**
     * Guards against machines that were taken before any list showed them: their zone counted as cut off, and nothing was
     * rented there any more.
     */
    @ParameterizedTest(name = "zones {0}, list {1} s late, submitted at {2} s, the leader ends {3}")
    @CsvSource({"a, 10, 11, true", "a, 10, 14, false", "a, 20, 13, false", "a b, 10, 15, false"})
    void machinesTakenBeforeTheyWereListedAreReplaced(
            String zones, double listLagS, double submittedAtS, boolean leaderEnds) {
        SimulatedCluster cluster = createCluster(zones, listLagS);
        cluster.taskDurationS = 40;
        cluster.runFor(submittedAtS);
        cluster.submitUntilAccepted(jobId(1), 24, false, Map.of("site", "a"));
        assertTrue(runUntilStarted(cluster, 8));
        List.copyOf(cluster.workers.values()).forEach(cluster.cloud::take);
        cluster.taskDurationS = 5;
        if (leaderEnds) {
            cluster.leader().restartAfter(5);
        }
        assertTrue(cluster.runUntil(
                RECOVERY_TIMEOUT_S, () -> cluster.pollStatus(jobId(1), 5).equals("done")));
        assertSettles(cluster, 100);
    }

    /** Guards against taking all silent machines for gone because a response without a body was read as an empty list. */
    @Test
    void aResponseWithoutAMachineListProvesNothing() {
        SimulatedCluster cluster = createCluster("a", 10);
        cluster.taskDurationS = 100;
        cluster.submitUntilAccepted(jobId(1), 24, false);
        assertTrue(runUntilStarted(cluster, 24));
        cluster.runFor(20);
        cluster.cloud.listsWithoutBody = true;
        List<SimulatedWorker> cutOff = List.copyOf(cluster.workers.values());
        cutOff.forEach(worker -> worker.disconnected = true);
        cluster.runFor(30);
        assertTrue(cluster.workers.values().containsAll(cutOff), "no living machine is returned");
        cluster.cloud.listsWithoutBody = false;
        cutOff.forEach(worker -> worker.disconnected = false);
        cluster.taskDurationS = 5;
        assertSettles(cluster, 150);
    }

    /**
     * Guards against taking living machines for gone: young ones that no list shows yet, and that are cut off, also while the
     * leader changes, lists arrive late or the cloud is down.
     */
    @ParameterizedTest(
            name =
                    "list {0} s late, response {1} s, submitted at {2} s, cut off after {3} s, {4} leader changes, cloud down {5}")
    @CsvSource({
        "20, 0, 0, 0, 0, false",
        "20, 0, 3, 0, 1, false",
        "20, 0, 0, 0, 3, false",
        "20, 3.5, 4, 0, 0, false",
        "20, 3.5, 6, 0, 0, false",
        "10, 3.5, 2, 0, 3, false",
        "20, 0, 1, 9, 1, true",
        "10, 0, 5, 9, 2, true"
    })
    void livingMachinesThatAreCutOffAreKept(
            double listLagS,
            double responseDelayS,
            double submittedAtS,
            double cutAfterS,
            int leaderChanges,
            boolean cloudDown) {
        SimulatedCluster cluster = createCluster("a", listLagS);
        cluster.taskDurationS = 150;
        cluster.runFor(submittedAtS);
        cluster.submitUntilAccepted(jobId(1), 24, false);
        assertTrue(runUntilStarted(cluster, 24));
        cluster.cloud.responseDelayS = responseDelayS;
        cluster.runFor(cutAfterS);
        List<String> machinesBefore = List.copyOf(cluster.workers.keySet());
        for (SimulatedWorker worker : cluster.workers.values()) {
            worker.disconnected = true;
            cluster.schedule(CUT_OFF_S, () -> worker.disconnected = false);
        }
        for (int i = 0; i < leaderChanges; i++) {
            cluster.schedule(2 + 14 * i, () -> cluster.leader().restartAfter(1));
        }
        cluster.cloud.down = cloudDown;
        cluster.schedule(CUT_OFF_S / 2, () -> cluster.cloud.down = false);
        cluster.runFor(CUT_OFF_S + 10);
        assertTrue(cluster.workers.keySet().containsAll(machinesBefore), "no living machine is returned");
        cluster.taskDurationS = 5;
        assertSettles(cluster, 150);
    }
}
