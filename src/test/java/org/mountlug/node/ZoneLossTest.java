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
 * Whole controllers while a zone drops off the network and returns. The simulated cluster checks the rules as it goes: no task
 * twice, none after its cancellation, none in a wrong place, one final outcome a job; {@code docs/faults.md} has a row a case.
 */
class ZoneLossTest {
    private static final ZoneThresholds THRESHOLDS = new ZoneThresholds(3, 0.5, 0.8, 0.25, 0.5, 3, 4, 60, 120);
    private static final ZoneSettings ON =
            new ZoneSettings(true, List.of(), THRESHOLDS, new RampSettings(0.1, 0.1, 0.5));
    /** A ramp slow enough that a test can do something in the middle of it. */
    private static final ZoneSettings SLOW_RAMP =
            new ZoneSettings(true, List.of(), THRESHOLDS, new RampSettings(0.05, 0.05, 1));

    private static final int URGENT = 1;

    /** 6 machines a zone with work of two classes for all and more waiting, no machine to be had. */
    private static ZoneScenario crowded(ZoneSettings settings) {
        ZoneScenario scenario = new ZoneScenario(3, 6, settings);
        scenario.cluster.cloud.zonesRefusingRentals.addAll(ZoneScenario.ZONES);
        scenario.cluster.taskDurationS = 24;
        scenario.submitArray(URGENT, "proofs", "high", 10);
        scenario.submitArray(2, "parts", "standard", 60);
        scenario.submitArray(3, "parts", "standard", 60);
        assertTrue(runUntilStarted(scenario.cluster, 72));
        scenario.cluster.runFor(3);
        return scenario;
    }

    /** Starts of the later class while a displaced task of the first one has waited for longer than any start takes. */
    private static long inversions(ZoneScenario scenario, boolean urgentFirst, double cutAt) {
        double openFrom = cutAt + scenario.cluster.workerLeaseS + 1 + ZoneScenario.START_DELAY_S;
        double restarted = 0;
        for (SimulatedCluster.TaskStart start : scenario.cluster.startLog) {
            boolean first = start.jobId().equals(jobId(URGENT)) == urgentFirst;
            if (first && start.atS() > openFrom) {
                restarted = Math.max(restarted, start.atS());
            }
        }
        double until = restarted - ZoneScenario.START_DELAY_S;
        return scenario.cluster.startLog.stream()
                .filter(start -> start.jobId().equals(jobId(URGENT)) != urgentFirst)
                .filter(start -> start.atS() > openFrom && start.atS() < until)
                .count();
    }

    /** Displaced work of the first class lands elsewhere before anything else; the setting decides which one is first. */
    @ParameterizedTest(name = "displacement [{0}]")
    @ValueSource(strings = {"", "parts"})
    void displacedWorkLandsInOrder(String first) {
        ZoneScenario scenario = crowded(new ZoneSettings(
                true, first.isEmpty() ? List.of() : List.of(first), THRESHOLDS, RampSettings.defaults()));
        Map<String, List<Integer>> displaced = scenario.activeTasksByJob("a");
        assertTrue(displaced.containsKey(jobId(URGENT)) && displaced.size() > 1, "both classes are displaced");
        double cutAt = scenario.cluster.nowS;
        assertTrue(scenario.isolateUntilLost("a"));
        scenario.cluster.runFor(60);
        assertEquals(0, inversions(scenario, first.isEmpty(), cutAt));
        for (int index : displaced.get(jobId(URGENT))) {
            double restartedAt = scenario.firstStartAfterS(jobId(URGENT), index, cutAt);
            assertTrue(!first.isEmpty()
                    || restartedAt < cutAt + scenario.cluster.workerLeaseS + scenario.cluster.taskDurationS);
        }
        scenario.rejoin("a");
        assertSettles(scenario.cluster, 300);
    }

    /** Starts in the returning zone stay within the window, which the leader's first look and each second let grow. */
    @Test
    void workReturnsAtThePaceOfTheRamp() {
        ZoneScenario scenario = new ZoneScenario(3, 20, SLOW_RAMP);
        scenario.cluster.taskDurationS = 30;
        scenario.submitArray(1, "parts", "standard", 400);
        assertTrue(runUntilStarted(scenario.cluster, 240));
        assertTrue(scenario.isolateUntilLost("a"));
        scenario.cluster.runFor(20);
        assertEquals(0, scenario.countStarts("a", scenario.cluster.nowS - 20, scenario.cluster.nowS));
        assertTrue(scenario.rejoinUntilReturning("a"));
        double from = scenario.cluster.nowS;
        double[] windows = new double[1];
        for (int second = 1; second <= 18 && scenario.state("a") == ZoneState.RETURNING; second++) {
            scenario.cluster.runFor(1);
            // One machine's worth at first, one more each second; each start is under way for a moment only.
            windows[0] += 1 + second;
            assertTrue(scenario.status("a").window() <= 1 + second, "window in second " + second);
            assertTrue(
                    scenario.countStarts("a", from, scenario.cluster.nowS) <= windows[0], "starts by second " + second);
        }
        assertTrue(scenario.countStarts("a", from, from + 10) > 5, "work does return");
        assertTrue(scenario.runUntilState(60, "a", ZoneState.PRESENT));
        assertSettles(scenario.cluster, 300);
    }

    /** Twice lost within a minute: the second time it must be heard for twice as long, and nothing is rented for it twice. */
    @Test
    void aZoneThatFlapsIsNeitherFilledNorEmptiedTwice() {
        ZoneScenario scenario = new ZoneScenario(3, 6, ON);
        scenario.cluster.cloud.capacity = 40;
        scenario.cluster.cloud.zoneCapacity.clear();
        scenario.cluster.taskDurationS = 300;
        scenario.submitArray(1, "parts", "standard", 72);
        assertTrue(runUntilStarted(scenario.cluster, 72));
        int before = scenario.cluster.machinesRented;
        for (int flap = 1; flap <= 2; flap++) {
            assertTrue(scenario.isolateUntilLost("a"));
            scenario.cluster.runFor(3);
            scenario.rejoin("a");
            double joinedAt = scenario.cluster.nowS;
            assertTrue(scenario.runUntilState(30, "a", ZoneState.RETURNING));
            // The first word of a machine may come up to an interval and a half after it can.
            assertTrue(scenario.cluster.nowS - joinedAt >= 4 * flap, "heard for long enough, time " + flap);
            assertEquals(0, scenario.countStarts("a", joinedAt, scenario.cluster.nowS));
            assertEquals(6, scenario.workersIn("a").size(), "none of the zone's machines is returned while it flaps");
        }
        assertEquals(2, scenario.status("a").recentLosses());
        scenario.cluster.runFor(30);
        assertTrue(scenario.cluster.machinesRented - before <= 6, "at most as many rented as were lost");
        scenario.cluster.taskDurationS = 5;
        assertSettles(scenario.cluster, 200);
    }

    /** A zone that comes back while the cloud is taking some of its machines: these get nothing, and lose nothing twice. */
    @Test
    void returnsWhileSomeOfItsMachinesDrain() {
        ZoneScenario scenario = crowded(ON);
        List<SimulatedCluster.Worker> taken = scenario.workersIn("a").subList(0, 2);
        for (SimulatedCluster.Worker worker : taken) {
            worker.reclaimedAtS = scenario.cluster.nowS + 60;
            scenario.cluster.schedule(60, worker::crash);
        }
        scenario.cluster.runFor(4);
        assertTrue(scenario.isolateUntilLost("a"));
        scenario.cluster.runFor(5);
        double joinedAt = scenario.cluster.nowS;
        assertTrue(scenario.rejoinUntilReturning("a"));
        scenario.cluster.runFor(20);
        List<String> names = taken.stream().map(worker -> worker.name).toList();
        assertTrue(scenario.cluster.startLog.stream()
                .noneMatch(start -> start.atS() > joinedAt && names.contains(start.machine())));
        assertSettles(scenario.cluster, 300);
    }

    /** The leader is in the zone that is cut off: another one leads, finds the zone silent and goes on. */
    @ParameterizedTest(name = "away for {0} s")
    @ValueSource(doubles = {8, 25, 60})
    void theLeaderSitsInTheLostZone(double awayS) {
        ZoneScenario scenario = crowded(ON);
        SimulatedCluster.ControllerProcess inside = scenario.cluster.leader();
        inside.inIsolatedZone = true;
        scenario.isolate("a");
        scenario.cluster.runFor(awayS);
        if (awayS > 20) {
            assertEquals(ZoneState.LOST, scenario.state("a"));
        }
        inside.inIsolatedZone = false;
        scenario.rejoin("a");
        assertSettles(scenario.cluster, 300);
        assertEquals(ZoneState.PRESENT, scenario.state("a"));
    }

    /** A new leader takes the ramp up where the last one left it: neither from nothing nor from full. */
    @Test
    void theLeaderChangesTwiceInTheMiddleOfTheRamp() {
        ZoneScenario scenario = new ZoneScenario(3, 20, SLOW_RAMP);
        scenario.cluster.taskDurationS = 40;
        scenario.submitArray(1, "parts", "standard", 500);
        assertTrue(runUntilStarted(scenario.cluster, 240));
        assertTrue(scenario.isolateUntilLost("a"));
        assertTrue(scenario.rejoinUntilReturning("a"));
        for (int change = 0; change < 2; change++) {
            scenario.cluster.runFor(4);
            double window = scenario.status("a").window();
            assertTrue(window > 1 && window < 20, "in the middle: " + window);
            SimulatedCluster.ControllerProcess leader = scenario.cluster.leader();
            long token = leader.token();
            leader.restartAfter(1);
            assertTrue(scenario.cluster.runUntil(
                    20,
                    () -> scenario.cluster.leader() != null
                            && scenario.cluster.leader().token() > token
                            && scenario.status("a").window() > 0));
            assertEquals(ZoneState.RETURNING, scenario.state("a"));
            double now = scenario.status("a").window();
            // Written every two seconds, and every step adds one.
            assertTrue(now >= window - 3 && now <= window + 2, "from " + window + " to " + now);
        }
        assertSettles(scenario.cluster, 300);
    }

    /** A new leader that cannot read how the zones stood places nothing until it can. */
    @Test
    void aNewLeaderWaitsForTheStateOfTheZones() {
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
        scenario.cluster.runFor(2); // what the last leader had decided takes effect
        double from = scenario.cluster.nowS;
        scenario.cluster.runFor(6);
        assertEquals(0, scenario.countStarts("a", from, scenario.cluster.nowS));
        scenario.cluster.stateService.refusedPath = null;
        assertTrue(scenario.cluster.runUntil(10, () -> scenario.state("a") == ZoneState.RETURNING));
        assertSettles(scenario.cluster, 300);
    }

    /** Half of a lost zone comes back: it returns, and only on the machines that are heard. */
    @Test
    void halfOfTheZoneComesBack() {
        ZoneScenario scenario = crowded(ON);
        assertTrue(scenario.isolateUntilLost("a"));
        double joinedAt = scenario.cluster.nowS;
        scenario.rejoin("a", 0.5);
        assertTrue(scenario.runUntilState(30, "a", ZoneState.RETURNING));
        scenario.cluster.runFor(20);
        assertTrue(scenario.status("a").window() <= 3);
        assertTrue(scenario.countStarts("a", joinedAt, scenario.cluster.nowS) > 0);
        scenario.rejoin("a");
        assertSettles(scenario.cluster, 300);
        assertEquals(ZoneState.PRESENT, scenario.state("a"));
    }

    /**
     * Machines heard again after three leases and more were taken for ones that hear nothing, as what they had not heard
     * while they were cut off counted, and the whole zone was returned at its first report.
     */
    @ParameterizedTest(name = "away for {0} s")
    @ValueSource(doubles = {20, 45, 100})
    void aZoneThatWasAwayForLongIsNotReturnedAtItsFirstReport(double awayS) {
        ZoneScenario scenario = crowded(ON);
        scenario.isolate("a");
        scenario.cluster.runFor(awayS);
        scenario.rejoin("a");
        scenario.cluster.runFor(12);
        assertEquals(6, scenario.workersIn("a").size());
        assertSettles(scenario.cluster, 300);
    }

    /** Half of a zone cut off, however long, is a case of its own: suspect, never lost. */
    @Test
    void aPartOfAZoneIsNotCalledLost() {
        ZoneScenario scenario = crowded(ON);
        scenario.isolate("a", 0.6);
        scenario.cluster.runFor(60);
        assertEquals(ZoneState.SUSPECT, scenario.state("a"));
        assertTrue(scenario.statusHistory.values().stream().noneMatch(status -> status.state() == ZoneState.LOST));
        scenario.rejoin("a");
        assertSettles(scenario.cluster, 300);
    }

    @Test
    void aSecondZoneGoesWhileTheFirstReturns() {
        ZoneScenario scenario = crowded(SLOW_RAMP);
        assertTrue(scenario.isolateUntilLost("a"));
        assertTrue(scenario.rejoinUntilReturning("a"));
        assertTrue(scenario.isolateUntilLost("b"));
        double from = scenario.cluster.nowS;
        scenario.cluster.runFor(20);
        assertEquals(0, scenario.countStarts("b", from, scenario.cluster.nowS));
        assertTrue(scenario.countStarts("a", from, scenario.cluster.nowS) > 0, "the first one is where work goes now");
        scenario.rejoin("b");
        assertSettles(scenario.cluster, 300);
    }

    /** The state service is down as the zone returns: nothing is placed meanwhile, and the ramp goes on afterwards. */
    @ParameterizedTest(name = "from {0} s before the return, for {1} s, the leader ends {2}")
    @CsvSource({"1, 12, false", "6, 25, false", "1, 20, true"})
    void theStateServiceIsDownAsTheZoneReturns(double beforeS, double forS, boolean leaderEnds) {
        ZoneScenario scenario = crowded(ON);
        assertTrue(scenario.isolateUntilLost("a"));
        scenario.cluster.runFor(6);
        scenario.cluster.stateService.outage = true;
        scenario.cluster.runFor(beforeS);
        scenario.rejoin("a");
        if (leaderEnds) {
            scenario.cluster.leader().restartAfter(2);
        }
        scenario.cluster.runFor(forS);
        scenario.cluster.stateService.recover();
        assertSettles(scenario.cluster, 400);
        assertEquals(ZoneState.PRESENT, scenario.state("a"));
    }

    /** Machines come back with sessions of before and with reports that were held up: nothing of it proves anything. */
    @ParameterizedTest(name = "hung for {0} s of the cut, leader ends {1}")
    @CsvSource({"9, false", "9, true", "30, false", "30, true"})
    void machinesComeBackWithOldSessionsAndTasks(double hungS, boolean leaderEnds) {
        ZoneScenario scenario = crowded(ON);
        scenario.cluster.runFor(2);
        Map<SimulatedCluster.Worker, List<Report>> old = new HashMap<>();
        for (SimulatedCluster.Worker worker : scenario.workersIn("a")) {
            old.put(worker, List.copyOf(worker.sentReports));
            worker.hungUntilS = scenario.cluster.nowS + hungS;
        }
        scenario.isolate("a");
        scenario.cluster.runFor(hungS + 6);
        if (leaderEnds) {
            scenario.cluster.leader().restartAfter(3);
        }
        scenario.rejoin("a");
        for (int i = 0; i < 30; i++) {
            scenario.cluster.runFor(0.5);
            SimulatedCluster.ControllerProcess leader = scenario.cluster.leader();
            if (leader != null) {
                for (List<Report> reports : old.values()) {
                    leader.controller.handleReport(reports.get(i % reports.size()));
                }
            }
        }
        assertSettles(scenario.cluster, 300);
    }

    /** Jobs are cancelled while their machines are in the lost zone: gone in time, those cut off by their lease. */
    @ParameterizedTest(name = "{0} s after the cut, leader inside {1}")
    @CsvSource({"0.5, false", "9, false", "20, false", "0.5, true", "9, true"})
    void jobsAreCancelledWhileTheirMachinesAreAway(double afterS, boolean leaderInside) {
        ZoneScenario scenario = crowded(ON);
        SimulatedCluster.ControllerProcess leader = scenario.cluster.leader();
        leader.inIsolatedZone = leaderInside;
        scenario.isolate("a");
        scenario.cluster.runFor(afterS);
        SimulatedCluster.ControllerProcess outside = otherController(scenario.cluster, leader);
        for (int job : new int[] {URGENT, 2}) {
            assertTrue(scenario.cluster.runUntil(20, () -> {
                Map<String, Object> answer = outside.cancel(jobId(job));
                return answer != null && "withdrawn".equals(answer.get("status"));
            }));
        }
        scenario.cluster.runFor(SimulatedCluster.CANCEL_DEADLINE_S + 5);
        leader.inIsolatedZone = false;
        scenario.rejoin("a");
        assertSettles(scenario.cluster, 300);
    }

    /** The cloud refuses rentals in the other zones: what is there is used in order, and nothing is rented at the return. */
    @Test
    void theCloudRefusesRentalsElsewhere() {
        ZoneScenario scenario = crowded(ON);
        int before = scenario.cluster.machinesRented;
        double cutAt = scenario.cluster.nowS;
        scenario.isolate("a");
        scenario.cluster.runFor(40);
        assertEquals(before, scenario.cluster.machinesRented);
        assertEquals(0, inversions(scenario, true, cutAt));
        scenario.cluster.cloud.zonesRefusingRentals.clear();
        scenario.rejoin("a");
        assertSettles(scenario.cluster, 300);
    }

    /** A leader of production's version meets the loss; one of this version takes over in its middle or at its end. */
    @ParameterizedTest(name = "this version leads {0} s after the cut")
    @ValueSource(doubles = {5, 20, 45})
    void aLeaderOfProductionMeetsTheLoss(double afterS) {
        ZoneScenario scenario = new ZoneScenario(3, 6, ON, true);
        scenario.cluster.taskDurationS = 24;
        scenario.submitArray(1, "parts", "standard", 150);
        assertTrue(runUntilStarted(scenario.cluster, 72));
        scenario.isolate("a");
        scenario.cluster.runFor(afterS);
        scenario.cluster.leader().upgradeAfter(1);
        scenario.cluster.runFor(30 - afterS / 2);
        assertNull(
                scenario.cluster.stateService.value(StateKeys.ZONES),
                "not written while one controller cannot read it");
        scenario.rejoin("a");
        scenario.cluster.controllers.stream()
                .filter(node -> node.runsProductionVersion)
                .forEach(node -> node.upgradeAfter(1));
        assertSettles(scenario.cluster, 400);
    }

    /** The state is kept for the next leader once every controller reads it, and a leader of production ignores it. */
    @Test
    void theStateIsStoredAndAnOlderLeaderIgnoresIt() {
        ZoneScenario scenario = crowded(ON);
        assertTrue(scenario.isolateUntilLost("a"));
        scenario.cluster.runFor(3);
        assertNotNull(scenario.cluster.stateService.value(StateKeys.ZONES));
        for (SimulatedCluster.ControllerProcess node : scenario.cluster.controllers) {
            node.runsProductionVersion = true;
            node.restartAfter(1);
        }
        scenario.cluster.runFor(15);
        scenario.rejoin("a");
        assertSettles(scenario.cluster, 300);
    }

    /** Neither a storm of ending machines nor a leader that stood still, or alone hears nothing, is a lost zone. */
    @ParameterizedTest(name = "{0}")
    @ValueSource(strings = {"machines end", "leader stands still", "leader hears no worker"})
    void otherTroublesAreNoLostZone(String trouble) {
        ZoneScenario scenario = crowded(ON);
        switch (trouble) {
            case "machines end" ->
                scenario.workersIn("a")
                        .forEach(worker -> scenario.cluster.schedule(1, () -> {
                            scenario.cluster.workers.remove(worker.name);
                            worker.terminate();
                        }));
            case "leader stands still" -> scenario.cluster.leader().pause(15);
            default -> scenario.cluster.leader().cutFromWorkers = true;
        }
        scenario.cluster.runFor(25);
        scenario.cluster.controllers.forEach(node -> node.cutFromWorkers = false);
        scenario.cluster.cloud.zonesRefusingRentals.clear();
        scenario.cluster.runFor(25);
        if (!trouble.equals("machines end")) {
            assertTrue(scenario.statusHistory.values().stream().noneMatch(status -> status.state() == ZoneState.LOST));
        }
        assertSettles(scenario.cluster, 400);
    }
}
