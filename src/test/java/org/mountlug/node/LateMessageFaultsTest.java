package org.mountlug.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.mountlug.node.FaultTestSteps.activeTaskCount;
import static org.mountlug.node.FaultTestSteps.assertSettles;
import static org.mountlug.node.FaultTestSteps.jobId;
import static org.mountlug.node.FaultTestSteps.otherController;
import static org.mountlug.node.FaultTestSteps.runUntilStarted;
import static org.mountlug.node.FaultTestSteps.submit;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.mountlug.core.model.Report;
import org.mountlug.core.model.Team;

/** Writes, reports, orders and campaigns that arrive late, or whose answers are lost, across a change of leader. */
class LateMessageFaultsTest {
    /** Transactions lost on their way back or carried out late, out of order, while the leader changes and jobs end apart. */
    @ParameterizedTest(name = "{0}, {1} s late, the leader ends {2} s in, jobs of {3}")
    @CsvSource({
        "RESPONSES_LOST, 0, 2, 3",
        "RESPONSES_LOST, 0, 0.6, 2",
        "WRITES_DELAYED, 2, 1, 3",
        "WRITES_DELAYED, 4, 1.2, 2",
        "WRITES_DELAYED, 12, 3, 3",
        "WRITES_DELAYED, 6, 0.3, 2",
        "RESPONSES_LOST, 0, 99, 3",
        "WRITES_DELAYED, 3, 99, 3",
        "WRITES_DELAYED, 12, 99, 2"
    })
    void writesThatAreCarriedOutUnheardOrLate(FakeStateService.Link link, double lateS, double endsS, int tasks) {
        SimulatedCluster w = new SimulatedCluster(3);
        w.stateService.writeDelayS = lateS;
        w.taskDurationS = 6;
        w.submitUntilAccepted(jobId(90), 4, false);
        w.runFor(12);
        for (int i = 1; i <= 6; i++) {
            w.submitUntilAccepted(jobId(i), tasks, i % 3 == 0);
        }
        w.runFor(1.5);
        // Of a job of three, tasks end seconds apart: each on a machine of another speed.
        double[] slow = {1};
        for (SimulatedCluster.Worker k : w.workers.values()) {
            k.slowdownFactor = slow[0] += 0.6;
        }
        for (SimulatedCluster.ControllerProcess n : w.controllers) {
            n.stateLink = link;
        }
        SimulatedCluster.ControllerProcess old = w.leader();
        long token = old.token();
        if (endsS < 90) {
            w.schedule(endsS, () -> old.restartAfter(1.5));
        }
        w.schedule(
                1,
                () -> w.controllers
                        .get(1)
                        .askAsync(
                                "abort",
                                jobId(4),
                                r -> w.controllers.get(1).users.cancel(jobId(4), r),
                                null));
        w.runFor(9);
        for (SimulatedCluster.ControllerProcess n : w.controllers) {
            n.stateLink = FakeStateService.Link.HEALTHY;
        }
        w.runFor(lateS);
        assertTrue(
                link == FakeStateService.Link.WRITES_DELAYED
                        ? w.stateService.delayedWritesApplied > 1
                        : w.stateService.writesWithLostResponse > 0);
        if (endsS >= 90) {
            assertEquals(token, w.leader().token(), "nobody takes its own late write for another leader's");
        }
        assertSettles(w, 150);
    }

    /** What a leader wrote before it was deposed and that is carried out under the next one changes nothing. */
    @ParameterizedTest(name = "{0} s into the next term")
    @ValueSource(doubles = {0.02, 1, 8})
    void aWriteOfADeposedLeaderIsCarriedOutUnderTheNext(double intoS) {
        SimulatedCluster w = new SimulatedCluster(3);
        w.cloud.capacity = 3;
        w.taskDurationS = 40;
        w.submitUntilAccepted(jobId(1), 8, false, Map.of("dueS", 15.0));
        assertTrue(w.runUntil(60, () -> activeTaskCount(w, jobId(1)) == 8));
        w.runFor(3);
        SimulatedCluster.ControllerProcess old = w.leader();
        w.stateService.onTransaction = (from, body) -> {
            if (from == old && body.toString().contains("put=j/" + jobId(2))) {
                old.stateLink = FakeStateService.Link.PARTITIONED;
            }
        };
        otherController(w, old).submit(jobId(2), 4, false, Map.of("dueS", 5.0));
        assertTrue(w.runUntil(20, () -> old.stateLink == FakeStateService.Link.PARTITIONED), "it placed the job");
        w.stateService.onTransaction = null;
        old.cutFromPeers = true;
        for (SimulatedCluster.Worker k : w.workers.values()) {
            k.disconnected = true; // so that the next leader has not written the job yet
        }
        assertTrue(w.runUntil(12, () -> w.leader() != old && w.leader() != null));
        w.runFor(intoS);
        assertTrue(!w.stateService.heldTransactions.isEmpty());
        Object before = w.stateService.value("j/" + jobId(2));
        long token = w.leader().token();
        w.stateService.heldTransactions.forEach(Runnable::run);
        w.stateService.heldTransactions.clear();
        assertEquals(before, w.stateService.value("j/" + jobId(2)));
        w.runFor(2);
        assertEquals(token, w.leader().token(), "nobody takes it for a newer leader's");
        for (SimulatedCluster.Worker k : w.workers.values()) {
            k.disconnected = false;
        }
        old.stateLink = FakeStateService.Link.HEALTHY;
        old.cutFromPeers = false;
        assertSettles(w, 200);
    }

    /** A write of reservations that is carried out after newer ones of the same term must not come back. */
    @Test
    void reservationsWrittenLateDoNotReplaceNewerOnes() {
        SimulatedCluster w = new SimulatedCluster(1);
        w.cloud.capacity = 3;
        w.taskDurationS = 20;
        w.submitUntilAccepted(jobId(1), 12, false);
        assertTrue(runUntilStarted(w, 12));
        w.runFor(3);
        List<Map<String, Object>> late = new ArrayList<>();
        w.stateService.onTransaction = (from, body) -> {
            if (late.isEmpty() && body.toString().contains("put=r/" + jobId(2))) {
                late.add(body);
            }
        };
        w.submitUntilAccepted(jobId(2), 12, true);
        // What makes room for it takes a while to be gone, and the room is held meanwhile.
        for (SimulatedCluster.Worker k : w.workers.values()) {
            k.hungUntilS = w.nowS + 6;
        }
        w.controllers.get(0).cancel(jobId(1));
        assertTrue(w.runUntil(20, () -> !w.stateService.keys("r/").isEmpty()), "room is reserved");
        Object before = w.stateService.value("r/" + jobId(2));
        assertTrue(
                w.runUntil(
                        120, () -> w.stateService.value("r/" + jobId(2)) == null && activeTaskCount(w, jobId(2)) == 12),
                "and used");
        assertNotNull(before);
        // Its first copy had no answer, was sent again, and is now carried out once more.
        for (Map<String, Object> b : late) {
            w.stateService.replayTransaction(b);
        }
        assertEquals(List.of(), w.stateService.keys("r/"));
        assertSettles(w, 100);
    }

    /**
     * Machines are up within two seconds and get work at once, while writes lag and the leader ends before or after they
     * are carried out; the list does not show the machines yet.
     */
    @ParameterizedTest(name = "up in {0} s, writes {1} s late from {2} s, the leader ends at {3} s, {4}")
    @CsvSource({
        "0.5, 2, 0, 1.4, array",
        "1, 2, 0.5, 2.2, gang",
        "1.5, 5, 1, 2, array",
        "2, 5, 1, 3, gang",
        "1, 12, 0.6, 4, array",
        "1, 3, 0.8, 2.6, service",
        "0.5, 3, 0, 99, gang",
        "1, 3, 1, 5.9, array"
    })
    void machinesUpAtOnceWhileWritesLagAndTheLeaderEnds(
            double bootS, double lateS, double fromS, double endsS, String shape) {
        SimulatedCluster w = new SimulatedCluster(3);
        w.cloud.listLagS = 20;
        w.machineBootS = bootS;
        w.stateService.writeDelayS = lateS;
        w.taskDurationS = 8;
        w.runFor(6);
        submit(w, 1, shape, 8);
        submit(w, 2, "array", 6);
        assertTrue(w.runUntil(10, () -> !w.workers.isEmpty()), "rented");
        SimulatedCluster.ControllerProcess old = w.leader();
        w.schedule(fromS, () -> old.stateLink = FakeStateService.Link.WRITES_DELAYED);
        if (endsS < 90) {
            w.schedule(endsS, () -> old.restartAfter(0.3));
        }
        w.runFor(7);
        old.stateLink = FakeStateService.Link.HEALTHY;
        w.runFor(lateS);
        assertTrue(w.stateService.delayedWritesApplied > 0, "a write was carried out late");
        assertSettles(w, 150);
    }

    /** Old reports, also of an earlier session or attempt, reach every controller just as a new leader begins, or once it has acted. */
    @ParameterizedTest(name = "{0} s after the term begins, of the last {1} reports, session ended {2}, {3}")
    @CsvSource({
        "0, 1, false, array",
        "0, 40, false, array",
        "0.02, 40, true, gang",
        "0.5, 40, true, array",
        "3, 40, false, gang",
        "3, 40, true, service",
        "14, 40, true, array",
        "30, 40, true, gang",
        "0, 40, true, service"
    })
    void oldReportsMeetANewLeader(double afterS, int last, boolean sessionEnded, String shape) {
        SimulatedCluster w = new SimulatedCluster(3);
        w.taskDurationS = 9;
        submit(w, 1, shape, 8);
        submit(w, 2, "array", 8);
        assertTrue(runUntilStarted(w, 16));
        w.runFor(6);
        int[] copies = new int[1];
        List<Report> kept = new ArrayList<>();
        for (SimulatedCluster.Worker k : w.workers.values()) {
            kept.addAll(k.sentReports.subList(Math.max(0, k.sentReports.size() - last), k.sentReports.size()));
        }
        SimulatedCluster.ControllerProcess old = w.leader();
        w.onTermStart.add(n -> w.schedule(afterS, () -> {
            for (SimulatedCluster.ControllerProcess x : w.controllers) {
                for (Report r : kept) {
                    if (x.up) {
                        x.controller.handleReport(r);
                        copies[0]++;
                    }
                }
            }
        }));
        if (sessionEnded) {
            for (SimulatedCluster.Worker k : new ArrayList<>(w.workers.values())) {
                k.disconnected = true;
                w.schedule(11, () -> k.disconnected = false);
            }
        }
        w.runFor(0.5);
        old.restartAfter(2);
        w.runFor(13 + afterS);
        assertTrue(copies[0] > 0, "they came to a new leader");
        assertSettles(w, 150);
    }

    /**
     * A report that is on its way when its worker is given orders directly arrives after their answer. What we answer to
     * it renews the lease all the same.
     */
    @ParameterizedTest(name = "held up {0} s, {1}")
    @CsvSource({"1, array", "3, array", "3.5, gang", "2, gang"})
    void aReportOvertakenByTheAnswerToOrdersRenewsTheLease(double heldS, String shape) {
        SimulatedCluster w = new SimulatedCluster(1, List.of(new Team("t", 0, 0, 0, 0, 1)), 10);
        w.taskDurationS = 60;
        w.cloud.capacity = 1;
        w.submitUntilAccepted(jobId(9), 1, false);
        assertTrue(runUntilStarted(w, 1));
        SimulatedCluster.Worker k = w.workers.values().iterator().next();
        w.runFor(4.1);
        // From here on its reports are held up on their way, and orders straight to it are not.
        k.reportDelayS = heldS;
        for (int i = 1; i <= 3; i++) {
            String id = jobId(i);
            w.schedule(0.1 + 1.3 * i, () -> submit(w, Integer.parseInt(id.substring(3)), shape, 1));
        }
        assertTrue(w.runUntil(20, () -> k.reportOvertaken && k.activeTasks().size() >= 2), "a report was overtaken");
        k.disconnected = true;
        w.schedule(3, () -> w.addMachine("a")); // room for its work as soon as it is taken for gone
        w.runFor(25);
        assertTrue(
                w.workers.values().stream()
                        .anyMatch(x -> x != k && !x.activeTasks().isEmpty()),
                "its work went on elsewhere");
        k.disconnected = false;
        k.reportDelayS = 0;
        w.cloud.capacity = 12;
        w.taskDurationS = 5;
        if (shape.equals("service")) {
            for (int i = 1; i <= 3; i++) {
                w.controllers.get(0).cancel(jobId(i));
            }
        }
        assertSettles(w, 150);
    }

    /** A command or its answer is held up for seconds, the machine goes on, and meanwhile a user cancels or the leader ends. */
    @ParameterizedTest(name = "held up {0} s, hung {1} s, cancelled {2} s in, the leader ends {3}, {4}")
    @CsvSource({
        "2, 0, 0.5, false, gang",
        "4, 3, 1, false, gang",
        "8, 6, 0.2, true, gang",
        "9, 9, 2, true, gang",
        "6, 6, 4, false, service",
        "12, 0, 0.3, true, service",
        "5, 8, 0.1, false, array",
        "20, 9, 3, true, array"
    })
    void ordersHeldUpWhileTheMachineHangs(double lateS, double hungS, double cancelS, boolean ends, String shape) {
        SimulatedCluster w = new SimulatedCluster(3);
        w.taskDurationS = 40;
        w.submitUntilAccepted(jobId(9), 8, false);
        assertTrue(runUntilStarted(w, 8));
        w.runFor(3);
        w.commandDelayS = lateS;
        submit(w, 1, shape, 6);
        submit(w, 2, shape, 4);
        w.runFor(1.2);
        for (SimulatedCluster.Worker k : w.workers.values()) {
            k.hungUntilS = w.nowS + hungS;
        }
        w.runFor(cancelS);
        for (int i = 0; i < 8 && !w.cancelAcknowledgedAtS.containsKey(jobId(1)); i++) {
            otherController(w, w.leader()).cancel(jobId(1));
        }
        assertTrue(w.cancelAcknowledgedAtS.containsKey(jobId(1)));
        if (ends) {
            w.leader().restartAfter(0.2);
        }
        w.runFor(SimulatedCluster.CANCEL_DEADLINE_S + 2);
        assertEquals(0, activeTaskCount(w, jobId(1)));
        w.commandDelayS = 0;
        w.taskDurationS = 5;
        if (shape.equals("service")) {
            w.controllers.get(0).cancel(jobId(2));
        }
        assertSettles(w, 200);
    }

    /** A campaign whose answer is lost or that is carried out late makes nobody keep a key alive that it does not know of. */
    @ParameterizedTest(name = "{0}, {1} s late")
    @CsvSource({"RESPONSES_LOST, 0", "WRITES_DELAYED, 1", "WRITES_DELAYED, 3", "WRITES_DELAYED, 12"})
    void anElectionWhoseAnswerIsLost(FakeStateService.Link link, double lateS) {
        SimulatedCluster w = new SimulatedCluster(3);
        w.taskDurationS = 30;
        w.stateService.writeDelayS = lateS;
        w.submitUntilAccepted(jobId(1), 8, false);
        assertTrue(runUntilStarted(w, 8));
        w.runFor(3);
        SimulatedCluster.ControllerProcess old = w.leader();
        for (SimulatedCluster.ControllerProcess n : w.controllers) {
            if (n != old) {
                n.stateLink = link;
            }
        }
        old.restartAfter(9);
        w.runFor(8.5);
        for (SimulatedCluster.ControllerProcess n : w.controllers) {
            n.stateLink = FakeStateService.Link.HEALTHY;
        }
        assertTrue(w.runUntil(9, () -> w.leader() != null), "the key does not stay with somebody who does not know");
        w.runFor(4 + lateS);
        assertTrue(
                link == FakeStateService.Link.WRITES_DELAYED
                        ? w.stateService.delayedWritesApplied > 0
                        : w.stateService.writesWithLostResponse > 0);
        assertEquals(
                1, w.controllers.stream().filter(n -> n.controller.isLeading()).count());
        assertSettles(w, 150);
    }
}
