package org.mountlug.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.mountlug.node.FaultScenario.allStarted;
import static org.mountlug.node.FaultScenario.end;
import static org.mountlug.node.FaultScenario.id;
import static org.mountlug.node.FaultScenario.on;
import static org.mountlug.node.FaultScenario.other;
import static org.mountlug.node.FaultScenario.submit;

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
        "UNHEARD, 0, 2, 3",
        "UNHEARD, 0, 0.6, 2",
        "LATE, 2, 1, 3",
        "LATE, 4, 1.2, 2",
        "LATE, 12, 3, 3",
        "LATE, 6, 0.3, 2",
        "UNHEARD, 0, 99, 3",
        "LATE, 3, 99, 3",
        "LATE, 12, 99, 2"
    })
    void writesThatAreCarriedOutUnheardOrLate(StateStandIn.Link link, double lateS, double endsS, int tasks) {
        SimulatedCluster w = new SimulatedCluster(3);
        w.state.lateS = lateS;
        w.runS = 6;
        w.accept(id(90), 4, false);
        w.run(12);
        for (int i = 1; i <= 6; i++) {
            w.accept(id(i), tasks, i % 3 == 0);
        }
        w.run(1.5);
        // Of a job of three, tasks end seconds apart: each on a machine of another speed.
        double[] slow = {1};
        for (SimulatedCluster.Worker k : w.workers.values()) {
            k.slow = slow[0] += 0.6;
        }
        for (SimulatedCluster.Node n : w.nodes) {
            n.link = link;
        }
        SimulatedCluster.Node old = w.leader();
        long token = old.token();
        if (endsS < 90) {
            w.in(endsS, () -> old.restartAfter(1.5));
        }
        w.in(
                1,
                () -> w.nodes
                        .get(1)
                        .askLater("abort", id(4), r -> w.nodes.get(1).users.abort(id(4), r), null));
        w.run(9);
        for (SimulatedCluster.Node n : w.nodes) {
            n.link = StateStandIn.Link.GOOD;
        }
        w.run(lateS);
        assertTrue(link == StateStandIn.Link.LATE ? w.state.lateCarriedOut > 1 : w.state.unheard > 0);
        if (endsS >= 90) {
            assertEquals(token, w.leader().token(), "nobody takes its own late write for another leader's");
        }
        end(w, 150);
    }

    /** What a leader wrote before it was deposed and that is carried out under the next one changes nothing. */
    @ParameterizedTest(name = "{0} s into the next term")
    @ValueSource(doubles = {0.02, 1, 8})
    void aWriteOfADeposedLeaderIsCarriedOutUnderTheNext(double intoS) {
        SimulatedCluster w = new SimulatedCluster(3);
        w.cloud.capacity = 3;
        w.runS = 40;
        w.accept(id(1), 8, false, Map.of("dueS", 15.0));
        assertTrue(w.until(60, () -> on(w, id(1)) == 8));
        w.run(3);
        SimulatedCluster.Node old = w.leader();
        w.state.onMulti = (from, body) -> {
            if (from == old && body.toString().contains("put=j/" + id(2))) {
                old.link = StateStandIn.Link.SILENT;
            }
        };
        other(w, old).submit(id(2), 4, false, Map.of("dueS", 5.0));
        assertTrue(w.until(20, () -> old.link == StateStandIn.Link.SILENT), "it placed the job");
        w.state.onMulti = null;
        old.cutFromPeers = true;
        for (SimulatedCluster.Worker k : w.workers.values()) {
            k.cut = true; // so that the next leader has not written the job yet
        }
        assertTrue(w.until(12, () -> w.leader() != old && w.leader() != null));
        w.run(intoS);
        assertTrue(!w.state.heldBack.isEmpty());
        Object before = w.state.value("j/" + id(2));
        long token = w.leader().token();
        w.state.heldBack.forEach(Runnable::run);
        w.state.heldBack.clear();
        assertEquals(before, w.state.value("j/" + id(2)));
        w.run(2);
        assertEquals(token, w.leader().token(), "nobody takes it for a newer leader's");
        for (SimulatedCluster.Worker k : w.workers.values()) {
            k.cut = false;
        }
        old.link = StateStandIn.Link.GOOD;
        old.cutFromPeers = false;
        end(w, 200);
    }

    /** A write of reservations that is carried out after newer ones of the same term must not come back. */
    @Test
    void reservationsWrittenLateDoNotReplaceNewerOnes() {
        SimulatedCluster w = new SimulatedCluster(1);
        w.cloud.capacity = 3;
        w.runS = 20;
        w.accept(id(1), 12, false);
        assertTrue(allStarted(w, 12));
        w.run(3);
        List<Map<String, Object>> late = new ArrayList<>();
        w.state.onMulti = (from, body) -> {
            if (late.isEmpty() && body.toString().contains("put=r/" + id(2))) {
                late.add(body);
            }
        };
        w.accept(id(2), 12, true);
        // What makes room for it takes a while to be gone, and the room is held meanwhile.
        for (SimulatedCluster.Worker k : w.workers.values()) {
            k.hangsUntil = w.now + 6;
        }
        w.nodes.get(0).abort(id(1));
        assertTrue(w.until(20, () -> !w.state.keys("r/").isEmpty()), "room is reserved");
        Object before = w.state.value("r/" + id(2));
        assertTrue(w.until(120, () -> w.state.value("r/" + id(2)) == null && on(w, id(2)) == 12), "and used");
        assertNotNull(before);
        // Its first copy had no answer, was sent again, and is now carried out once more.
        for (Map<String, Object> b : late) {
            w.state.again(b);
        }
        assertEquals(List.of(), w.state.keys("r/"));
        end(w, 100);
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
        w.bootS = bootS;
        w.state.lateS = lateS;
        w.runS = 8;
        w.run(6);
        submit(w, 1, shape, 8);
        submit(w, 2, "array", 6);
        assertTrue(w.until(10, () -> !w.workers.isEmpty()), "rented");
        SimulatedCluster.Node old = w.leader();
        w.in(fromS, () -> old.link = StateStandIn.Link.LATE);
        if (endsS < 90) {
            w.in(endsS, () -> old.restartAfter(0.3));
        }
        w.run(7);
        old.link = StateStandIn.Link.GOOD;
        w.run(lateS);
        assertTrue(w.state.lateCarriedOut > 0, "a write was carried out late");
        end(w, 150);
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
        w.runS = 9;
        submit(w, 1, shape, 8);
        submit(w, 2, "array", 8);
        assertTrue(allStarted(w, 16));
        w.run(6);
        int[] copies = new int[1];
        List<Report> kept = new ArrayList<>();
        for (SimulatedCluster.Worker k : w.workers.values()) {
            kept.addAll(k.sent.subList(Math.max(0, k.sent.size() - last), k.sent.size()));
        }
        SimulatedCluster.Node old = w.leader();
        w.onLead.add(n -> w.in(afterS, () -> {
            for (SimulatedCluster.Node x : w.nodes) {
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
                k.cut = true;
                w.in(11, () -> k.cut = false);
            }
        }
        w.run(0.5);
        old.restartAfter(2);
        w.run(13 + afterS);
        assertTrue(copies[0] > 0, "they came to a new leader");
        end(w, 150);
    }

    /**
     * A report that is on its way when its worker is given orders directly arrives after their answer. What we answer to
     * it renews the lease all the same.
     */
    @ParameterizedTest(name = "held up {0} s, {1}")
    @CsvSource({"1, array", "3, array", "3.5, gang", "2, gang"})
    void aReportOvertakenByTheAnswerToOrdersRenewsTheLease(double heldS, String shape) {
        SimulatedCluster w = new SimulatedCluster(1, List.of(new Team("t", 0, 0, 0, 0, 1)), 10);
        w.runS = 60;
        w.cloud.capacity = 1;
        w.accept(id(9), 1, false);
        assertTrue(allStarted(w, 1));
        SimulatedCluster.Worker k = w.workers.values().iterator().next();
        w.run(4.1);
        // From here on its reports are held up on their way, and orders straight to it are not.
        k.reportLateS = heldS;
        for (int i = 1; i <= 3; i++) {
            String id = id(i);
            w.in(0.1 + 1.3 * i, () -> submit(w, Integer.parseInt(id.substring(3)), shape, 1));
        }
        assertTrue(w.until(20, () -> k.overtaken && k.held().size() >= 2), "a report was overtaken");
        k.cut = true;
        w.in(3, () -> w.worker("a")); // room for its work as soon as it is taken for gone
        w.run(25);
        assertTrue(
                w.workers.values().stream().anyMatch(x -> x != k && !x.held().isEmpty()), "its work went on elsewhere");
        k.cut = false;
        k.reportLateS = 0;
        w.cloud.capacity = 12;
        w.runS = 5;
        if (shape.equals("service")) {
            for (int i = 1; i <= 3; i++) {
                w.nodes.get(0).abort(id(i));
            }
        }
        end(w, 150);
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
        w.runS = 40;
        w.accept(id(9), 8, false);
        assertTrue(allStarted(w, 8));
        w.run(3);
        w.commandLateS = lateS;
        submit(w, 1, shape, 6);
        submit(w, 2, shape, 4);
        w.run(1.2);
        for (SimulatedCluster.Worker k : w.workers.values()) {
            k.hangsUntil = w.now + hungS;
        }
        w.run(cancelS);
        for (int i = 0; i < 8 && !w.cancelledAt.containsKey(id(1)); i++) {
            other(w, w.leader()).abort(id(1));
        }
        assertTrue(w.cancelledAt.containsKey(id(1)));
        if (ends) {
            w.leader().restartAfter(0.2);
        }
        w.run(SimulatedCluster.CANCEL_S + 2);
        assertEquals(0, on(w, id(1)));
        w.commandLateS = 0;
        w.runS = 5;
        if (shape.equals("service")) {
            w.nodes.get(0).abort(id(2));
        }
        end(w, 200);
    }

    /** A campaign whose answer is lost or that is carried out late makes nobody keep a key alive that it does not know of. */
    @ParameterizedTest(name = "{0}, {1} s late")
    @CsvSource({"UNHEARD, 0", "LATE, 1", "LATE, 3", "LATE, 12"})
    void anElectionWhoseAnswerIsLost(StateStandIn.Link link, double lateS) {
        SimulatedCluster w = new SimulatedCluster(3);
        w.runS = 30;
        w.state.lateS = lateS;
        w.accept(id(1), 8, false);
        assertTrue(allStarted(w, 8));
        w.run(3);
        SimulatedCluster.Node old = w.leader();
        for (SimulatedCluster.Node n : w.nodes) {
            if (n != old) {
                n.link = link;
            }
        }
        old.restartAfter(9);
        w.run(8.5);
        for (SimulatedCluster.Node n : w.nodes) {
            n.link = StateStandIn.Link.GOOD;
        }
        assertTrue(w.until(9, () -> w.leader() != null), "the key does not stay with somebody who does not know");
        w.run(4 + lateS);
        assertTrue(link == StateStandIn.Link.LATE ? w.state.lateCarriedOut > 0 : w.state.unheard > 0);
        assertEquals(1, w.nodes.stream().filter(n -> n.controller.leads()).count());
        end(w, 150);
    }
}
