package org.mountlug.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.mountlug.node.FaultTestSteps.assertSettles;
import static org.mountlug.node.FaultTestSteps.jobId;
import static org.mountlug.node.FaultTestSteps.otherController;
import static org.mountlug.node.FaultTestSteps.runUntilStarted;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.mountlug.core.model.Report;
import org.mountlug.core.zone.RampSettings;
import org.mountlug.core.zone.ZoneSettings;
import org.mountlug.core.zone.ZoneState;
import org.mountlug.core.zone.ZoneThresholds;
import org.mountlug.store.StateKeys;

/**
 * Tests whole controllers while a zone is cut off from the network and returns. The simulated cluster checks that no task runs
 * twice, after its job's cancellation or in a wrong zone, and that each job has one final outcome. {@code docs/faults.md} has a
 * row for each case.
 */
class ZoneLossTest {
    private static final ZoneThresholds THRESHOLDS = new ZoneThresholds(3, 0.5, 0.8, 0.25, 0.5, 3, 4, 60, 120);
    private static final ZoneSettings ENABLED =
            new ZoneSettings(true, List.of(), THRESHOLDS, new RampSettings(0.1, 0.1, 0.5));
    /** Settings with a ramp that is slow enough for a test to act in the middle of it. */
    private static final ZoneSettings SLOW_RAMP =
            new ZoneSettings(true, List.of(), THRESHOLDS, new RampSettings(0.05, 0.05, 1));

    private static final int URGENT_JOB = 1;

    /** Starts 6 machines per zone, all full with tasks of two job classes; more tasks are pending, and rentals are refused. */
    private static ZoneScenario createFullScenario(ZoneSettings settings) {
        ZoneScenario scenario = new ZoneScenario(3, 6, settings);
        scenario.cluster.cloud.zonesRefusingRentals.addAll(ZoneScenario.ZONES);
        scenario.cluster.taskDurationS = 24;
        scenario.submitArray(URGENT_JOB, "proofs", "high", 10);
        scenario.submitArray(2, "parts", "standard", 60);
        scenario.submitArray(3, "parts", "standard", 60);
        assertTrue(runUntilStarted(scenario.cluster, 72));
        scenario.cluster.runFor(3);
        return scenario;
    }

    /**
     * Returns the number of starts of the second class while a displaced task of the first class had been pending for longer
     * than a start takes.
     *
     * @param urgentFirst whether the class of the urgent job comes first
     */
    private static long countInversions(ZoneScenario scenario, boolean urgentFirst, double isolatedAtS) {
        double fromS = isolatedAtS + scenario.cluster.workerLeaseS + 1 + ZoneScenario.START_DELAY_S;
        double lastRestartS = 0;
        for (SimulatedCluster.TaskStart start : scenario.cluster.startLog) {
            boolean isFirstClass = start.jobId().equals(jobId(URGENT_JOB)) == urgentFirst;
            if (isFirstClass && start.atS() > fromS) {
                lastRestartS = Math.max(lastRestartS, start.atS());
            }
        }
        double untilS = lastRestartS - ZoneScenario.START_DELAY_S;
        return scenario.cluster.startLog.stream()
                .filter(start -> start.jobId().equals(jobId(URGENT_JOB)) != urgentFirst)
                .filter(start -> start.atS() > fromS && start.atS() < untilS)
                .count();
    }

    /**
     * Displaced tasks of the class that the setting puts first restart before all others; if the setting is empty, those of high
     * priority do.
     */
    @ParameterizedTest(name = "displacement order [{0}]")
    @ValueSource(strings = {"", "parts"})
    void displacedWorkRestartsInOrder(String firstClass) {
        ZoneScenario scenario = createFullScenario(new ZoneSettings(
                true, firstClass.isEmpty() ? List.of() : List.of(firstClass), THRESHOLDS, RampSettings.defaults()));
        Map<String, List<Integer>> displaced = scenario.activeTasksByJob("a");
        assertTrue(displaced.containsKey(jobId(URGENT_JOB)) && displaced.size() > 1, "both classes are displaced");
        double isolatedAtS = scenario.cluster.nowS;
        assertTrue(scenario.isolateUntilLost("a"));
        scenario.cluster.runFor(60);
        assertEquals(0, countInversions(scenario, firstClass.isEmpty(), isolatedAtS));
        for (int index : displaced.get(jobId(URGENT_JOB))) {
            double restartedAtS = scenario.firstStartAfterS(jobId(URGENT_JOB), index, isolatedAtS);
            assertTrue(!firstClass.isEmpty()
                    || restartedAtS < isolatedAtS + scenario.cluster.workerLeaseS + scenario.cluster.taskDurationS);
        }
        scenario.rejoin("a");
        assertSettles(scenario.cluster, 300);
    }

    /** Starts in a returning zone stay within the ramp's window, which grows with the leader's first tick and each second. */
    @Test
    void startsInReturningZoneStayWithinTheRampWindow() {
        ZoneScenario scenario = new ZoneScenario(3, 20, SLOW_RAMP);
        scenario.cluster.taskDurationS = 30;
        scenario.submitArray(1, "parts", "standard", 400);
        assertTrue(runUntilStarted(scenario.cluster, 240));
        assertTrue(scenario.isolateUntilLost("a"));
        scenario.cluster.runFor(20);
        assertEquals(0, scenario.countStarts("a", scenario.cluster.nowS - 20, scenario.cluster.nowS));
        assertTrue(scenario.rejoinUntilReturning("a"));
        double fromS = scenario.cluster.nowS;
        double[] windowSum = new double[1];
        for (int second = 1; second <= 18 && scenario.state("a") == ZoneState.RETURNING; second++) {
            scenario.cluster.runFor(1);
            // The window begins at one machine's worth and grows by one each second; a start occupies it only briefly.
            windowSum[0] += 1 + second;
            assertTrue(scenario.status("a").window() <= 1 + second, "window in second " + second);
            assertTrue(
                    scenario.countStarts("a", fromS, scenario.cluster.nowS) <= windowSum[0],
                    "starts until second " + second);
        }
        assertTrue(scenario.countStarts("a", fromS, fromS + 10) > 5, "tasks start in the returning zone");
        assertTrue(scenario.runUntilState(60, "a", ZoneState.PRESENT));
        assertSettles(scenario.cluster, 300);
    }

    /**
     * A zone is lost twice within a minute. The second time, its machines must report for twice as long before it returns, and
     * no second set of machines is rented.
     */
    @Test
    void flappingZoneIsNeitherReturnedNorReplacedTwice() {
        ZoneScenario scenario = new ZoneScenario(3, 6, ENABLED);
        scenario.cluster.cloud.capacity = 40;
        scenario.cluster.cloud.zoneCapacity.clear();
        scenario.cluster.taskDurationS = 300;
        scenario.submitArray(1, "parts", "standard", 72);
        assertTrue(runUntilStarted(scenario.cluster, 72));
        int rentedBefore = scenario.cluster.machinesRented;
        for (int loss = 1; loss <= 2; loss++) {
            assertTrue(scenario.isolateUntilLost("a"));
            scenario.cluster.runFor(3);
            scenario.rejoin("a");
            double rejoinedAtS = scenario.cluster.nowS;
            assertTrue(scenario.runUntilState(30, "a", ZoneState.RETURNING));
            // A machine's first report may come up to one and a half report intervals after the zone rejoins.
            assertTrue(
                    scenario.cluster.nowS - rejoinedAtS >= 4 * loss,
                    "machines report for long enough after loss " + loss);
            assertEquals(0, scenario.countStarts("a", rejoinedAtS, scenario.cluster.nowS));
            assertEquals(6, scenario.workersIn("a").size(), "no machine of the zone is returned to the cloud");
        }
        assertEquals(2, scenario.status("a").recentLosses());
        scenario.cluster.runFor(30);
        assertTrue(
                scenario.cluster.machinesRented - rentedBefore <= 6,
                "at most as many machines are rented as were lost");
        scenario.cluster.taskDurationS = 5;
        assertSettles(scenario.cluster, 200);
    }

    /** A zone returns while the cloud reclaims some of its machines: no task starts on them. */
    @Test
    void reclaimedMachinesOfReturningZoneGetNoStarts() {
        ZoneScenario scenario = createFullScenario(ENABLED);
        List<SimulatedWorker> reclaimed = scenario.workersIn("a").subList(0, 2);
        for (SimulatedWorker worker : reclaimed) {
            worker.reclaimedAtS = scenario.cluster.nowS + 60;
            scenario.cluster.schedule(60, worker::crash);
        }
        scenario.cluster.runFor(4);
        assertTrue(scenario.isolateUntilLost("a"));
        scenario.cluster.runFor(5);
        double rejoinedAtS = scenario.cluster.nowS;
        assertTrue(scenario.rejoinUntilReturning("a"));
        scenario.cluster.runFor(20);
        List<String> names = reclaimed.stream().map(worker -> worker.name).toList();
        assertTrue(scenario.cluster.startLog.stream()
                .noneMatch(start -> start.atS() > rejoinedAtS && names.contains(start.machine())));
        assertSettles(scenario.cluster, 300);
    }

    /** The leader is isolated together with its zone: another controller becomes leader and declares the zone lost. */
    @ParameterizedTest(name = "isolated for {0} s")
    @ValueSource(doubles = {8, 25, 60})
    void leaderIsInTheLostZone(double isolatedS) {
        ZoneScenario scenario = createFullScenario(ENABLED);
        SimulatedCluster.ControllerProcess leader = scenario.cluster.leader();
        leader.inIsolatedZone = true;
        scenario.isolate("a");
        scenario.cluster.runFor(isolatedS);
        if (isolatedS > 20) {
            assertEquals(ZoneState.LOST, scenario.state("a"));
        }
        leader.inIsolatedZone = false;
        scenario.rejoin("a");
        assertSettles(scenario.cluster, 300);
        assertEquals(ZoneState.PRESENT, scenario.state("a"));
    }

    /** A new leader continues the ramp at the stored window: it neither restarts the ramp nor skips the rest. */
    @Test
    void rampContinuesAcrossTwoLeaderChanges() {
        ZoneScenario scenario = new ZoneScenario(3, 20, SLOW_RAMP);
        scenario.cluster.taskDurationS = 40;
        scenario.submitArray(1, "parts", "standard", 500);
        assertTrue(runUntilStarted(scenario.cluster, 240));
        assertTrue(scenario.isolateUntilLost("a"));
        assertTrue(scenario.rejoinUntilReturning("a"));
        for (int change = 0; change < 2; change++) {
            scenario.cluster.runFor(4);
            double window = scenario.status("a").window();
            assertTrue(window > 1 && window < 20, "in the middle of the ramp: " + window);
            SimulatedCluster.ControllerProcess leader = scenario.cluster.leader();
            long token = leader.token();
            leader.restartAfter(1);
            assertTrue(scenario.cluster.runUntil(
                    20,
                    () -> scenario.cluster.leader() != null
                            && scenario.cluster.leader().token() > token
                            && scenario.status("a").window() > 0));
            assertEquals(ZoneState.RETURNING, scenario.state("a"));
            double windowAfterChange = scenario.status("a").window();
            // The window is stored every two seconds, and every step of the ramp adds one.
            assertTrue(
                    windowAfterChange >= window - 3 && windowAfterChange <= window + 2,
                    "window from " + window + " to " + windowAfterChange);
        }
        assertSettles(scenario.cluster, 300);
    }

    /** A new leader that cannot read the stored zone states places no task until it can. */
    @Test
    void newLeaderStartsNothingUntilItHasReadTheZoneStates() {
        ZoneScenario scenario = new ZoneScenario(3, 20, SLOW_RAMP);
        scenario.cluster.taskDurationS = 40;
        scenario.submitArray(1, "parts", "standard", 500);
        assertTrue(runUntilStarted(scenario.cluster, 240));
        assertTrue(scenario.isolateUntilLost("a"));
        assertTrue(scenario.rejoinUntilReturning("a"));
        scenario.cluster.runFor(3);
        long token = scenario.cluster.leader().token();
        scenario.cluster.stateService.refusedPath = "/kv/" + StateKeys.ZONES;
        scenario.cluster.leader().restartAfter(1);
        assertTrue(scenario.cluster.runUntil(
                20,
                () -> scenario.cluster.leader() != null
                        && scenario.cluster.leader().token() > token));
        scenario.cluster.runFor(2); // starts that the previous leader decided take effect
        double fromS = scenario.cluster.nowS;
        scenario.cluster.runFor(6);
        assertEquals(0, scenario.countStarts("a", fromS, scenario.cluster.nowS));
        scenario.cluster.stateService.refusedPath = null;
        assertTrue(scenario.cluster.runUntil(10, () -> scenario.state("a") == ZoneState.RETURNING));
        assertSettles(scenario.cluster, 300);
    }

    /** Half of a lost zone rejoins: the zone returns, with a window for the reporting machines only. */
    @Test
    void halfOfTheZoneRejoins() {
        ZoneScenario scenario = createFullScenario(ENABLED);
        assertTrue(scenario.isolateUntilLost("a"));
        double rejoinedAtS = scenario.cluster.nowS;
        scenario.rejoin("a", 0.5);
        assertTrue(scenario.runUntilState(30, "a", ZoneState.RETURNING));
        scenario.cluster.runFor(20);
        assertTrue(scenario.status("a").window() <= 3);
        assertTrue(scenario.countStarts("a", rejoinedAtS, scenario.cluster.nowS) > 0);
        scenario.rejoin("a");
        assertSettles(scenario.cluster, 300);
        assertEquals(ZoneState.PRESENT, scenario.state("a"));
    }

    /**
     * Machines that reported again after three or more worker leases were taken for out-of-contact machines, because commands
     * and responses missed during the isolation counted. The whole zone was then returned to the cloud at its first report.
     */
    @ParameterizedTest(name = "isolated for {0} s")
    @ValueSource(doubles = {20, 45, 100})
    void zoneIsNotReturnedToTheCloudAfterALongIsolation(double isolatedS) {
        ZoneScenario scenario = createFullScenario(ENABLED);
        scenario.isolate("a");
        scenario.cluster.runFor(isolatedS);
        scenario.rejoin("a");
        scenario.cluster.runFor(12);
        assertEquals(6, scenario.workersIn("a").size());
        assertSettles(scenario.cluster, 300);
    }

    /** A zone of which 60 % of the machines are isolated is suspect, but never lost, however long it takes. */
    @Test
    void partlyIsolatedZoneIsSuspectButNotLost() {
        ZoneScenario scenario = createFullScenario(ENABLED);
        scenario.isolate("a", 0.6);
        scenario.cluster.runFor(60);
        assertEquals(ZoneState.SUSPECT, scenario.state("a"));
        assertTrue(scenario.statusHistory.values().stream().noneMatch(status -> status.state() == ZoneState.LOST));
        scenario.rejoin("a");
        assertSettles(scenario.cluster, 300);
    }

    /** A second zone is lost during the first one's ramp: no task starts there, while tasks start in the first zone. */
    @Test
    void secondZoneIsLostWhileTheFirstReturns() {
        ZoneScenario scenario = createFullScenario(SLOW_RAMP);
        assertTrue(scenario.isolateUntilLost("a"));
        assertTrue(scenario.rejoinUntilReturning("a"));
        assertTrue(scenario.isolateUntilLost("b"));
        double fromS = scenario.cluster.nowS;
        scenario.cluster.runFor(20);
        assertEquals(0, scenario.countStarts("b", fromS, scenario.cluster.nowS));
        assertTrue(scenario.countStarts("a", fromS, scenario.cluster.nowS) > 0, "tasks start in the first zone");
        scenario.rejoin("b");
        assertSettles(scenario.cluster, 300);
    }

    /** The state service is unavailable while the zone returns: no task is placed meanwhile, and the ramp goes on afterwards. */
    @ParameterizedTest(name = "outage from {0} s before the rejoin, for {1} s after it, leader restarts {2}")
    @CsvSource({"1, 12, false", "6, 25, false", "1, 20, true"})
    void stateServiceOutageDuringTheReturn(double beforeS, double durationS, boolean leaderRestarts) {
        ZoneScenario scenario = createFullScenario(ENABLED);
        assertTrue(scenario.isolateUntilLost("a"));
        scenario.cluster.runFor(6);
        scenario.cluster.stateService.outage = true;
        scenario.cluster.runFor(beforeS);
        scenario.rejoin("a");
        if (leaderRestarts) {
            scenario.cluster.leader().restartAfter(2);
        }
        scenario.cluster.runFor(durationS);
        scenario.cluster.stateService.recover();
        assertSettles(scenario.cluster, 400);
        assertEquals(ZoneState.PRESENT, scenario.state("a"));
    }

    /** Machines rejoin after a hang with their old sessions, while copies of their old reports arrive: neither may count. */
    @ParameterizedTest(name = "hung for {0} s of the isolation, leader restarts {1}")
    @CsvSource({"9, false", "9, true", "30, false", "30, true"})
    void machinesRejoinWithOldSessionsAndReports(double hungS, boolean leaderRestarts) {
        ZoneScenario scenario = createFullScenario(ENABLED);
        scenario.cluster.runFor(2);
        Map<SimulatedWorker, List<Report>> oldReports = new HashMap<>();
        for (SimulatedWorker worker : scenario.workersIn("a")) {
            oldReports.put(worker, List.copyOf(worker.sentReports));
            worker.hungUntilS = scenario.cluster.nowS + hungS;
        }
        scenario.isolate("a");
        scenario.cluster.runFor(hungS + 6);
        if (leaderRestarts) {
            scenario.cluster.leader().restartAfter(3);
        }
        scenario.rejoin("a");
        for (int i = 0; i < 30; i++) {
            scenario.cluster.runFor(0.5);
            SimulatedCluster.ControllerProcess leader = scenario.cluster.leader();
            if (leader != null) {
                for (List<Report> reports : oldReports.values()) {
                    leader.controller.handleReport(reports.get(i % reports.size()));
                }
            }
        }
        assertSettles(scenario.cluster, 300);
    }

    /** Jobs are cancelled while their zone is isolated: their tasks end in time, those in the zone as worker leases expire. */
    @ParameterizedTest(name = "{0} s after the isolation, leader inside {1}")
    @CsvSource({"0.5, false", "9, false", "20, false", "0.5, true", "9, true"})
    void jobsAreCancelledWhileTheirZoneIsIsolated(double afterS, boolean leaderInside) {
        ZoneScenario scenario = createFullScenario(ENABLED);
        SimulatedCluster.ControllerProcess leader = scenario.cluster.leader();
        leader.inIsolatedZone = leaderInside;
        scenario.isolate("a");
        scenario.cluster.runFor(afterS);
        SimulatedCluster.ControllerProcess otherController = otherController(scenario.cluster, leader);
        for (int job : new int[] {URGENT_JOB, 2}) {
            assertTrue(scenario.cluster.runUntil(20, () -> {
                Map<String, Object> response = otherController.cancel(jobId(job));
                return response != null && "withdrawn".equals(response.get("status"));
            }));
        }
        scenario.cluster.runFor(SimulatedCluster.CANCEL_DEADLINE_S + 5);
        leader.inIsolatedZone = false;
        scenario.rejoin("a");
        assertSettles(scenario.cluster, 300);
    }

    /** The cloud refuses rentals during the loss: displaced tasks restart in order on the remaining machines. */
    @Test
    void cloudRefusesRentalsDuringTheLoss() {
        ZoneScenario scenario = createFullScenario(ENABLED);
        int rentedBefore = scenario.cluster.machinesRented;
        double isolatedAtS = scenario.cluster.nowS;
        scenario.isolate("a");
        scenario.cluster.runFor(40);
        assertEquals(rentedBefore, scenario.cluster.machinesRented);
        assertEquals(0, countInversions(scenario, true, isolatedAtS));
        scenario.cluster.cloud.zonesRefusingRentals.clear();
        scenario.rejoin("a");
        assertSettles(scenario.cluster, 300);
    }

    /** A leader of the production version loses the zone, and is upgraded to this version early or late in the loss. */
    @ParameterizedTest(name = "upgrade {0} s after the isolation")
    @ValueSource(doubles = {5, 20, 45})
    void leaderOfProductionVersionIsUpgradedAfterTheLoss(double afterS) {
        ZoneScenario scenario = new ZoneScenario(3, 6, ENABLED, true);
        scenario.cluster.taskDurationS = 24;
        scenario.submitArray(1, "parts", "standard", 150);
        assertTrue(runUntilStarted(scenario.cluster, 72));
        scenario.isolate("a");
        scenario.cluster.runFor(afterS);
        scenario.cluster.leader().upgradeAfter(1);
        scenario.cluster.runFor(30 - afterS / 2);
        assertNull(
                scenario.cluster.stateService.value(StateKeys.ZONES),
                "zone states are not stored while one controller cannot read them");
        scenario.rejoin("a");
        scenario.cluster.controllers.stream()
                .filter(process -> process.runsProductionVersion)
                .forEach(process -> process.upgradeAfter(1));
        assertSettles(scenario.cluster, 400);
    }

    /** Zone states are stored once every controller can read them, and a leader of the production version ignores them. */
    @Test
    void zoneStatesAreStoredAndIgnoredByTheProductionVersion() {
        ZoneScenario scenario = createFullScenario(ENABLED);
        assertTrue(scenario.isolateUntilLost("a"));
        scenario.cluster.runFor(3);
        assertNotNull(scenario.cluster.stateService.value(StateKeys.ZONES));
        for (SimulatedCluster.ControllerProcess process : scenario.cluster.controllers) {
            process.runsProductionVersion = true;
            process.restartAfter(1);
        }
        scenario.cluster.runFor(15);
        scenario.rejoin("a");
        assertSettles(scenario.cluster, 300);
    }

    /**
     * A paused leader or a leader that no report reaches does not make a zone lost. When all machines of a zone terminate, only
     * the settling of the cluster is checked.
     */
    @ParameterizedTest(name = "{0}")
    @ValueSource(strings = {"machines terminate", "leader paused", "leader cut off from workers"})
    void otherFaultsDoNotMakeAZoneLost(String fault) {
        ZoneScenario scenario = createFullScenario(ENABLED);
        switch (fault) {
            case "machines terminate" ->
                scenario.workersIn("a")
                        .forEach(worker -> scenario.cluster.schedule(1, () -> {
                            scenario.cluster.workers.remove(worker.name);
                            worker.terminate();
                        }));
            case "leader paused" -> scenario.cluster.leader().pause(15);
            default -> scenario.cluster.leader().cutFromWorkers = true;
        }
        scenario.cluster.runFor(25);
        scenario.cluster.controllers.forEach(process -> process.cutFromWorkers = false);
        scenario.cluster.cloud.zonesRefusingRentals.clear();
        scenario.cluster.runFor(25);
        if (!fault.equals("machines terminate")) {
            assertTrue(scenario.statusHistory.values().stream().noneMatch(status -> status.state() == ZoneState.LOST));
        }
        assertSettles(scenario.cluster, 400);
    }
}
