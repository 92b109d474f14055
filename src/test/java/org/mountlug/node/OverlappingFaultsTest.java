package org.mountlug.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.mountlug.core.model.Report;
import org.mountlug.core.model.Team;

/**
 * Two troubles that overlap, at several offsets; {@code docs/faults.md} has a row for each. The world checks the rules,
 * that no answer is older than one sent before, and after the last fault that everything accepted goes on; a case also
 * asserts that its meeting took place.
 */
class OverlappingFaultsTest {
    private static String id(int n) {
        return String.format("wk-%06d", n);
    }

    private static SimulatedCluster.Node other(SimulatedCluster w, SimulatedCluster.Node not) {
        return w.nodes.stream()
                .filter(n -> n != not && n.up && n.frozenUntil <= w.now)
                .findFirst()
                .orElseThrow();
    }

    private static boolean allStarted(SimulatedCluster w, int tasks) {
        return w.until(
                90, () -> w.workers.values().stream().mapToInt(k -> k.starts).sum() >= tasks);
    }

    private static void end(SimulatedCluster w, double mostS) {
        w.settle(mostS);
        assertEquals(List.of(), w.broken());
    }

    private static long on(SimulatedCluster w, String id) {
        return w.workers.values().stream()
                .flatMap(k -> k.held().stream())
                .filter(t -> t.job.equals(id))
                .count();
    }

    private static void submit(SimulatedCluster w, int n, String shape, int tasks) {
        w.accept(id(n), tasks, shape.equals("gang"), shape.equals("service") ? Map.of("shape", "daemon") : Map.of());
    }

    /**
     * The state service refuses the leader alone, a user is told by another node that a job is cancelled, and then it is
     * out for everybody for longer than a cancellation has. Who tells it first need not be who made it durable.
     */
    @ParameterizedTest(name = "{0}, told by {1}, {2} s after the refusal, outage {3} s after")
    @CsvSource({
        "array, abort, 0.05, 0.5",
        "array, abort, 1, 0.1",
        "gang, abort, 1.5, 0.02",
        "service, abort, 1.5, 0.5",
        "array, poll, 0.3, 0.5",
        "gang, poll, 1.2, 0.1",
        "service, poll, 0.3, 0.5",
        "array, submission, 0.3, 0.5",
        "gang, submission, 1.2, 0.1",
        "array, second abort, 0.3, 0.5",
        "service, second abort, 1.2, 0.1",
        "array, third node, 0.8, 0.2"
    })
    void whatIsToldWhileTheLeaderIsRefusedHoldsThroughAnOutage(String shape, String by, double afterS, double outageS) {
        SimulatedCluster w = new SimulatedCluster(3);
        w.runS = 200;
        submit(w, 1, shape, 8);
        assertTrue(allStarted(w, 8));
        w.run(4);
        SimulatedCluster.Node old = w.leader();
        SimulatedCluster.Node first = other(w, old);
        SimulatedCluster.Node second =
                w.nodes.stream().filter(n -> n != old && n != first).findFirst().orElseThrow();
        old.link = StateStandIn.Link.REFUSED;
        w.run(afterS);
        if (by.equals("abort")) {
            assertEquals("withdrawn", first.abort(id(1)).get("status"));
        } else {
            // The abort is durable, and its answer lost: nobody was told of it yet.
            first.link = StateStandIn.Link.UNHEARD;
            first.askLater("abort", id(1), r -> first.users.abort(id(1), r), null);
            w.run(0.02);
            assertEquals(1, w.state.unheard);
            first.link = StateStandIn.Link.GOOD;
            SimulatedCluster.Node teller = by.equals("third node") ? second : first;
            Map<String, Object> a =
                    switch (by) {
                        case "poll", "third node" -> teller.poll(id(1));
                        case "submission" -> {
                            List<Map<String, Object>> got = new ArrayList<>();
                            teller.askLater("submission", id(1), r -> teller.users.submit(w.body(id(1)), r), got::add);
                            w.until(5, () -> !got.isEmpty());
                            yield got.get(0);
                        }
                        default -> teller.abort(id(1));
                    };
            assertEquals("withdrawn", a.get("status"));
        }
        w.run(outageS);
        w.state.outage = true;
        long token = old.token();
        w.run(SimulatedCluster.CANCEL_S + 1);
        assertTrue(old.controller.leads() && old.token() == token, "nobody else could be elected");
        assertEquals(0, on(w, id(1)), "gone in time");
        w.run(25);
        w.state.recover();
        old.link = StateStandIn.Link.GOOD;
        end(w, 100);
        assertEquals("withdrawn", w.outcome(id(1)));
    }

    /** The same while a node that told of cancellations comes back within a fraction of a second, or cannot be asked. */
    @ParameterizedTest(name = "the teller {0}")
    @ValueSource(
            strings = {
                "is back in 0.2 s",
                "is back in 0.2 s and was never asked",
                "is cut from its peers",
                "told of 600 jobs"
            })
    void knowledgeOfCancellationsStopsWithTheWordOfWhoTold(String what) {
        SimulatedCluster w = new SimulatedCluster(3);
        w.capacity = 150;
        w.runS = 200;
        w.accept(id(1), 8, false);
        int many = what.startsWith("told of") ? 600 : 0;
        for (int i = 0; i < many; i++) {
            w.accept(id(1000 + i), 1, false, Map.of("vcpus", 0.1, "ramGb", 0.1));
        }
        assertTrue(allStarted(w, 8 + many));
        w.run(4);
        SimulatedCluster.Node old = w.leader();
        SimulatedCluster.Node teller = other(w, old);
        old.link = StateStandIn.Link.REFUSED;
        w.run(0.3);
        if (!what.startsWith("is back in 0.2 s and")) {
            w.run(0.4);
        }
        if (what.equals("is cut from its peers")) {
            teller.cutFromPeers = true;
        }
        for (int i = 0; i < many; i++) {
            String j = id(1000 + i);
            teller.askLater("abort", j, r -> teller.users.abort(j, r), null);
            if (i % 25 == 24) {
                w.run(0.05);
            }
        }
        assertEquals("withdrawn", teller.abort(id(1)).get("status"));
        w.run(0.01);
        if (what.startsWith("is back")) {
            teller.restartAfter(0.2);
        }
        w.state.outage = true;
        w.run(SimulatedCluster.CANCEL_S + 1);
        assertEquals(0, on(w, id(1)), "gone in time");
        w.run(20);
        teller.cutFromPeers = false;
        w.state.recover();
        old.link = StateStandIn.Link.GOOD;
        w.runS = 5;
        end(w, 120);
    }

    /**
     * A leader is elected and refused before it has read everything: jobs cancelled before its term or during it, and told
     * by others, must not be kept alive by its answers.
     */
    @ParameterizedTest(name = "refused {0} s into the term, cancelled {1} s after that, for {2} s, the last leader {3}")
    @CsvSource({
        "0.003, -2, 45, ended",
        "0.003, 0.6, 45, ended",
        "0.008, -2, 45, ended",
        "0.008, 0.6, 45, ended",
        "0.014, 0.6, 45, ended",
        "0.014, 5, 45, ended",
        "0.02, -2, 45, ended",
        "0.02, 0.6, 60, ended",
        "0.05, 0.6, 45, ended",
        "0.3, 5, 45, ended",
        "0.003, -2, 45, stands still",
        "0.008, -2, 45, stands still",
        "0.014, -2, 60, stands still"
    })
    void aNoticeThatComesWhileALeaderLoadsIsNotLost(double intoS, double cancelS, double forS, String last) {
        SimulatedCluster w = new SimulatedCluster(3);
        w.runS = 300;
        w.accept(id(1), 8, false);
        for (int i = 2; i < 9; i++) {
            w.accept(id(i), 1, false); // more than a page of records
        }
        assertTrue(allStarted(w, 15));
        w.run(4);
        SimulatedCluster.Node before = w.leader();
        boolean[] began = new boolean[1];
        w.onLead.add(n -> {
            if (n == before || began[0]) {
                return;
            }
            began[0] = true;
            w.in(intoS, () -> n.link = StateStandIn.Link.REFUSED);
        });
        if (last.equals("ended")) {
            before.kill();
        } else {
            before.freeze(90);
        }
        if (cancelS < 0) {
            assertEquals("withdrawn", other(w, before).abort(id(1)).get("status"));
        }
        assertTrue(w.until(20, () -> began[0]));
        SimulatedCluster.Node now = w.leader();
        w.run(Math.max(0, cancelS));
        SimulatedCluster.Node teller = other(w, now);
        if (cancelS >= 0) {
            assertEquals("withdrawn", teller.abort(id(1)).get("status"));
        }
        w.run(0.1);
        w.state.outage = true;
        w.run(forS);
        assertEquals(0, on(w, id(1)), "gone in time");
        w.state.recover();
        now.link = StateStandIn.Link.GOOD;
        if (last.equals("ended")) {
            before.boot();
        }
        w.runS = 5;
        end(w, 200);
    }

    /** Stops of cancelled jobs need no write and no proof of leading: machines that cannot report get them straight. */
    @ParameterizedTest(name = "{0}")
    @ValueSource(strings = {"array", "gang", "service"})
    void stopsOfCancelledJobsLeaveAtOnceThoughNoWriteCan(String shape) {
        SimulatedCluster w = new SimulatedCluster(3);
        w.runS = 200;
        submit(w, 1, shape, 8);
        assertTrue(allStarted(w, 8));
        w.run(4);
        SimulatedCluster.Node old = w.leader();
        old.link = StateStandIn.Link.REFUSED;
        old.cutFromPeers = true;
        w.run(2.2);
        assertEquals("withdrawn", other(w, old).abort(id(1)).get("status"));
        w.state.outage = true;
        for (SimulatedCluster.Worker k : w.workers.values()) {
            k.mute = true;
        }
        w.run(3); // by now the leader cannot prove that it leads
        old.cutFromPeers = false;
        w.run(2.5);
        assertTrue(old.controller.leads());
        assertEquals(0, on(w, id(1)), "stopped straight, well before their leases run out");
        for (SimulatedCluster.Worker k : w.workers.values()) {
            k.mute = false;
        }
        w.state.recover();
        old.link = StateStandIn.Link.GOOD;
        end(w, 100);
    }

    /**
     * Users ask at all nodes within milliseconds, and repeat their submission, right after a job was accepted, ended or
     * cancelled: no node answers anything older. The checks of the world do the judging.
     */
    @ParameterizedTest(name = "{0}, with {1}")
    @CsvSource({
        "accepted, nothing",
        "accepted, lost answers",
        "accepted, late writes",
        "accepted, new leader",
        "cancelled, nothing",
        "cancelled, lost answers",
        "cancelled, late writes",
        "cancelled, new leader",
        "cancelled, refused",
        "ended, nothing",
        "ended, lost answers",
        "ended, late writes",
        "ended, new leader",
        "ended, refused"
    })
    void noNodeAnswersAnythingOlder(String after, String with) {
        SimulatedCluster w = new SimulatedCluster(3);
        w.runS = 3;
        w.accept(id(99), 4, false);
        w.run(10);
        int[] looks = new int[1];
        boolean[] on = {true};
        for (SimulatedCluster.Node n : w.nodes) {
            n.link = with.equals("lost answers")
                    ? StateStandIn.Link.UNHEARD
                    : with.equals("late writes") ? StateStandIn.Link.LATE : StateStandIn.Link.GOOD;
        }
        for (int k = 0; k < 6; k++) {
            String id = id(1 + k);
            boolean cancel = after.equals("cancelled") || k % 3 == 2;
            w.in(k * 1.7, () -> w.nodes.get(id.charAt(8) % 3).sendFresh(id, 3));
            // Again and again at every node, each question a few milliseconds after the last.
            for (int q = 0; q < 500; q++) {
                int turn = q;
                w.in(k * 1.7 + 0.004 + q * 0.023, () -> {
                    if (!on[0]) {
                        return;
                    }
                    SimulatedCluster.Node n = w.nodes.get(turn % 3);
                    if (turn % 7 == 3) {
                        n.repeat(id);
                    } else {
                        n.askLater("poll", id, r -> n.users.poll(id, r), null);
                    }
                    looks[0]++;
                });
            }
            if (cancel) {
                w.in(k * 1.7 + (after.equals("cancelled") ? 0.01 + k * 0.4 : 4.4), () -> {
                    for (SimulatedCluster.Node n : w.nodes) {
                        n.askLater("abort", id, r -> n.users.abort(id, r), null);
                    }
                });
            }
        }
        if (with.equals("new leader")) {
            for (double t : new double[] {2, 6.2}) {
                w.in(t, () -> w.leader().restartAfter(0.2));
            }
        }
        if (with.equals("refused")) {
            w.in(4, () -> {
                SimulatedCluster.Node l = w.leader();
                l.link = StateStandIn.Link.REFUSED;
                w.in(7, () -> l.link = StateStandIn.Link.GOOD);
            });
        }
        w.run(22);
        on[0] = false;
        if (with.equals("lost answers")) {
            assertTrue(w.state.unheard > 5, "answers were lost");
        }
        if (with.equals("late writes")) {
            assertTrue(w.state.lateSucceeded > 2, "late ones were carried out");
        }
        for (SimulatedCluster.Node n : w.nodes) {
            n.link = StateStandIn.Link.GOOD;
        }
        assertTrue(looks[0] > 2500);
        end(w, 120);
        assertTrue(w.accepted().size() > 3, "some were accepted meanwhile");
    }

    /**
     * A leader's write that ends a job is beaten by an abort, and before it can read which, it is refused and another
     * leader finishes the job: what it then takes for the outcome must be what was told.
     */
    @ParameterizedTest(name = "cut off {0} s after its write left, back {1} s after the other has finished")
    @CsvSource({
        "0.002, 0",
        "0.002, 0.05",
        "0.002, 0.1",
        "0.002, 0.15",
        "0.002, 0.2",
        "0.002, 0.25",
        "0.002, 0.3",
        "0.02, 0.1"
    })
    void aLeaderThatWasRefusedAmidItsLastWriteTellsTheOutcomeOfAnother(double beforeS, double backS) {
        SimulatedCluster w = new SimulatedCluster(3);
        w.runS = 6;
        w.accept(id(1), 1, false);
        assertTrue(allStarted(w, 1));
        SimulatedCluster.Node old = w.leader();
        SimulatedCluster.Node teller = other(w, old);
        boolean[] met = new boolean[1];
        // The moment of the write that ends the job: the abort is there first, and from then on the leader is refused.
        w.state.onMulti = (from, body) -> {
            if (met[0] || from != old || !body.toString().contains("delete=j/" + id(1))) {
                return;
            }
            met[0] = true;
            w.state.onMulti = null;
            Map<String, Object> v = new HashMap<>(org.mountlug.wire.Fields.map(w.state.value("j/" + id(1))));
            v.put("x", true);
            w.state.scribble("j/" + id(1), v);
            w.in(beforeS, () -> {
                old.link = StateStandIn.Link.REFUSED;
                old.cutFromPeers = old.cutFromWorkers = true;
            });
            w.in(beforeS + 0.001, () -> teller.askLater("abort", id(1), r -> teller.users.abort(id(1), r), null));
        };
        assertTrue(w.until(30, () -> met[0]));
        assertTrue(
                w.until(15, () -> w.leader() != old && w.state.value("f/" + id(1)) != null),
                "another leader finished it");
        // It reads what became of its write in the moment in which it still takes itself for the leader.
        w.run(backS);
        old.link = StateStandIn.Link.GOOD;
        for (int i = 0; i < 40; i++) {
            w.run(0.05);
            for (SimulatedCluster.Node n : w.nodes) {
                n.askLater("poll", id(1), r -> n.users.poll(id(1), r), null);
            }
        }
        old.cutFromPeers = old.cutFromWorkers = false;
        end(w, 60);
        assertEquals("withdrawn", w.outcome(id(1)));
    }

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
        w.capacity = 3;
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
        w.capacity = 3;
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
        w.listLagS = 20;
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
        w.capacity = 1;
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
        w.capacity = 12;
        w.runS = 5;
        if (shape.equals("service")) {
            for (int i = 1; i <= 3; i++) {
                w.nodes.get(0).abort(id(i));
            }
        }
        end(w, 150);
    }

    /** Teams at their limit, machines of theirs cut off or hung, jobs cancelled meanwhile, and the leader changes. */
    @ParameterizedTest(name = "{0} for {1} s, the leader ends {2} s after the cancellations, {3}")
    @CsvSource({
        "cut, 6, 0.3, array",
        "cut, 14, 0.3, gang",
        "cut, 14, -1, array",
        "cut, 40, 0.3, service",
        "hang, 6, 0.3, array",
        "hang, 9, -1, gang",
        "hang, 9, 2, service",
        "hang, 14, 0.3, gang",
        "mute, 14, 0.3, array",
        "deaf, 14, 0.3, array",
        "cut, 8, 5, gang"
    })
    void aTeamAtItsLimitWhileCancelledTasksCannotBeAsked(String how, double forS, double endsS, String shape) {
        SimulatedCluster w =
                new SimulatedCluster(3, List.of(new Team("t", 0, 24, 0, 0, 1), new Team("u", 0, 12, 0, 0, 1)));
        w.runS = 150;
        for (int i = 1; i <= 3; i++) {
            submit(w, i, shape, 8);
        }
        for (int i = 11; i <= 13; i++) {
            w.accept(id(i), 4, false, Map.of("crew", "u"));
        }
        assertTrue(w.until(90, () -> w.used("t") >= 24 && w.used("u") >= 12), "both teams are at their limits");
        for (int i = 4; i <= 6; i++) {
            submit(w, i, shape, 8);
        }
        for (int i = 14; i <= 16; i++) {
            w.accept(id(i), 4, false, Map.of("crew", "u"));
        }
        w.run(3);
        List<SimulatedCluster.Worker> lost = new ArrayList<>(w.workers.values()).subList(0, w.workers.size() / 2 + 1);
        SimulatedCluster.Node old = w.leader();
        if (endsS < 0) {
            old.restartAfter(1);
        }
        for (SimulatedCluster.Worker k : lost) {
            k.cut = how.equals("cut");
            k.mute = how.equals("mute");
            k.deaf = how.equals("deaf");
            if (how.equals("hang")) {
                k.hangsUntil = w.now + forS;
            }
            w.in(forS, () -> k.cut = k.mute = k.deaf = false);
        }
        w.run(0.2);
        assertTrue(w.used("t") >= 24 - 1e-6, "still at its limit");
        SimulatedCluster.Node teller =
                w.nodes.stream().filter(n -> n != old).findFirst().orElseThrow();
        for (int i : new int[] {1, 2, 11}) {
            teller.abort(id(i));
        }
        if (endsS >= 0) {
            w.in(endsS, () -> old.restartAfter(1));
        }
        w.run(forS + 5);
        assertTrue(w.cancelledAt.containsKey(id(1)));
        w.runS = 5;
        for (int i = 1; i <= 6; i++) {
            if (shape.equals("service") && i > 2) {
                w.nodes.get(0).abort(id(i));
            }
        }
        end(w, 200);
        assertTrue(w.fullest > 0.99);
    }

    /** Jobs are cancelled in the seconds in which the work of one controller changes hands; controllers hand over and back. */
    @ParameterizedTest(name = "{0} s around the hand-over, {1}")
    @CsvSource({
        "-0.5, array",
        "-0.01, gang",
        "0.01, array",
        "0.2, service",
        "0.5, gang",
        "1, array",
        "2, array",
        "4, gang"
    })
    void cancellationsAmidAHandOver(double atS, String shape) {
        SimulatedCluster w = new SimulatedCluster(5);
        w.runS = 120;
        for (int i = 1; i <= 4; i++) {
            submit(w, i, shape, 4);
        }
        assertTrue(allStarted(w, 16));
        w.run(3);
        int[] told = new int[1];
        for (int i = 1; i <= 3; i++) {
            String id = id(i);
            double at = 1 + atS + i * 0.13;
            for (int n = 0; n < 5; n++) {
                SimulatedCluster.Node node = w.nodes.get(n);
                w.in(at + n * 0.4, () -> node.askLater("abort", id, r -> node.users.abort(id, r), m -> told[0]++));
            }
        }
        w.in(1, () -> w.leader().restartAfter(0.3));
        w.in(6, () -> {
            if (w.leader() != null) {
                w.leader().restartAfter(0.1);
            }
        });
        w.in(9, () -> {
            for (SimulatedCluster.Node n : w.nodes) {
                n.restartAfter(0.2 + 0.3 * w.nodes.indexOf(n)); // all end, and one is back first
            }
        });
        w.run(SimulatedCluster.CANCEL_S + 14);
        assertTrue(told[0] >= 3);
        for (int i = 1; i <= 3; i++) {
            assertEquals(0, on(w, id(i)));
        }
        w.runS = 5;
        end(w, 200);
    }

    /** One-task jobs four a second, a quarter of them cancelled, many submitted again once over, while leaders change. */
    @Test
    void aSwarmOfOneTaskJobsAQuarterCancelled() {
        SimulatedCluster w = new SimulatedCluster(3);
        w.runS = 2;
        w.state.rps = 200;
        w.state.writeRps = 25;
        for (int i = 0; i < 240; i++) {
            int n = i;
            w.in(2 + i * 0.25, () -> {
                SimulatedCluster.Node a = w.nodes.get(n % 3);
                if (a.up) {
                    a.sendFresh(id(n), 1);
                }
                if (n % 3 == 0) {
                    w.in(6 + n % 11, () -> {
                        if (w.accepted().contains(id(n))) {
                            w.nodes.get((n + 2) % 3).repeat(id(n));
                        }
                    });
                }
                if (n % 4 == 1) {
                    w.in(0.05 + n % 13 * 0.3, () -> {
                        SimulatedCluster.Node b = w.nodes.get((n + 1) % 3);
                        b.askLater("abort", id(n), r -> b.users.abort(id(n), r), null);
                    });
                }
            });
        }
        for (double t = 12; t < 60; t += 12) {
            w.in(t, () -> {
                if (w.leader() != null) {
                    w.leader().restartAfter(0.5);
                }
            });
        }
        w.run(66);
        assertTrue(w.accepted().size() > 150);
        assertTrue(w.cancelledAt.size() > 30);
        // Some eight changes a second come from users and as many from the work: both have their part of the limit.
        assertTrue(w.state.limited <= 5, () -> w.state.limited + " requests were over the limits");
        end(w, 150);
    }

    /**
     * Once a user was told that a job is cancelled, nothing of it starts any more, but for what the leader sends before it
     * can have heard: through its watch in a moment, and from the others within a second where it is refused.
     */
    @ParameterizedTest(name = "cancelled {0} s after the write of its places, the leader {1}")
    @CsvSource({
        "0.001, served",
        "0.005, served",
        "0.02, served",
        "0.1, served",
        "0.3, served",
        "0.001, refused",
        "0.005, refused",
        "0.02, refused",
        "0.1, refused",
        "0.3, refused",
        "0.02, ends",
        "0.005, ends"
    })
    void nothingStartsOnceTheLeaderCanHaveHeardOfACancellation(double afterS, String leader) {
        SimulatedCluster w = new SimulatedCluster(3);
        w.runS = 30;
        w.accept(id(90), 24, false, Map.of("dueS", 20.0));
        assertTrue(w.until(60, () -> on(w, id(90)) == 24));
        w.nodes.get(0).abort(id(90));
        w.run(4);
        w.latestStartS = -1;
        int[] met = new int[1];
        SimulatedCluster.Node old = w.leader();
        SimulatedCluster.Node teller = other(w, old);
        for (int i = 1; i <= 4; i++) {
            String id = id(i);
            w.in(0.35 * i, () -> teller.sendFresh(id, 5));
        }
        w.state.onMulti = (from, body) -> {
            for (int i = 1; i <= 4; i++) {
                String id = id(i);
                if (from != old
                        || w.cancelledAt.containsKey(id)
                        || !body.toString().contains("put=j/" + id)) {
                    continue;
                }
                w.in(afterS, () -> {
                    if (leader.equals("refused")) {
                        old.link = StateStandIn.Link.REFUSED;
                    }
                    if (leader.equals("ends") && old.up) {
                        old.restartAfter(0.3);
                    }
                    teller.askLater("abort", id, r -> teller.users.abort(id, r), a -> met[0]++);
                });
            }
        };
        w.run(5);
        w.state.onMulti = null;
        old.link = StateStandIn.Link.GOOD;
        assertTrue(met[0] > 0, "jobs were cancelled just after they were placed");
        w.run(10);
        double most = leader.equals("refused") ? 1.1 : 0.4;
        assertTrue(w.latestStartS < most, () -> "a start " + w.latestStartS + " s after");
        end(w, 100);
    }

    /** The leader changes ten times in two minutes, also inside an outage, with jobs cancelled between. */
    @ParameterizedTest(name = "outage {0}, {1}")
    @CsvSource({"false, array", "true, array", "true, gang", "false, service"})
    void tenLeadersInTwoMinutes(boolean outage, String shape) {
        SimulatedCluster w = new SimulatedCluster(5);
        w.runS = 150;
        for (int i = 1; i <= 6; i++) {
            submit(w, i, shape, 4);
        }
        assertTrue(allStarted(w, 24));
        int[] terms = new int[1];
        w.onLead.add(n -> terms[0]++);
        for (int k = 0; k < 10; k++) {
            w.in(12 * k + 1, () -> {
                if (w.leader() != null) {
                    w.leader().restartAfter(0.4);
                }
            });
        }
        for (int i = 1; i <= 3; i++) {
            String id = id(i);
            for (int q = 0; q < 20; q++) {
                w.in(20 * i + q, () -> {
                    SimulatedCluster.Node n = w.nodes.get(2);
                    if (!w.cancelledAt.containsKey(id)) {
                        n.askLater("abort", id, r -> n.users.abort(id, r), null);
                    }
                });
            }
        }
        if (outage) {
            for (double t : new double[] {18, 66}) {
                w.in(t, () -> w.state.outage = true);
                w.in(t + 16, () -> w.state.recover());
            }
        }
        w.run(125);
        assertTrue(terms[0] >= (outage ? 7 : 9), () -> terms[0] + " terms");
        w.runS = 5;
        end(w, 250);
    }

    /** A zone with machines and a controller, perhaps the leader, is cut off for longer than a lease. */
    @ParameterizedTest(name = "the leader inside {0}, for {1} s, cancelled {2} s in, {3}")
    @CsvSource({
        "true, 14, 1, array",
        "true, 40, 0.1, gang",
        "true, 40, 5, array",
        "false, 14, 1, array",
        "false, 40, 12, gang",
        "true, 60, 3, service",
        "false, 9, 1, service"
    })
    void aZoneWithAControllerIsCutOff(boolean leaderInside, double forS, double cancelS, String shape) {
        SimulatedCluster w = new SimulatedCluster(3);
        w.zones = List.of("a", "b");
        w.runS = 100;
        for (int i = 1; i <= 4; i++) {
            submit(w, i, shape, 4);
        }
        w.accept(id(5), 6, false, Map.of("site", "a"));
        w.accept(id(6), 6, false, Map.of("site", "b", "oneZone", true));
        assertTrue(allStarted(w, 28));
        w.run(3);
        SimulatedCluster.Node in = leaderInside ? w.leader() : other(w, w.leader());
        in.inside = true;
        assertTrue(w.workers.values().stream().anyMatch(k -> k.zone.equals("a")));
        for (SimulatedCluster.Worker k : w.workers.values()) {
            k.inside = k.zone.equals("a");
        }
        SimulatedCluster.Node outside = other(w, in);
        w.run(cancelS);
        for (int i : new int[] {1, 5}) {
            w.until(
                    12,
                    () -> "withdrawn".equals(String.valueOf(outside.abort(id(i)).get("status"))));
            assertTrue(w.cancelledAt.containsKey(id(i)));
        }
        w.run(forS);
        in.inside = false;
        for (SimulatedCluster.Worker k : w.workers.values()) {
            k.inside = false;
        }
        w.run(SimulatedCluster.CANCEL_S);
        w.runS = 5;
        for (int i : new int[] {2, 3, 4}) {
            if (shape.equals("service")) {
                outside.abort(id(i));
            }
        }
        end(w, 200);
    }

    /** Jobs bound to one zone, arrays too, lose machines, their zone fills up, and the leader changes. */
    @ParameterizedTest(name = "{0} bound by {1}, machines {2}, the leader ends {3}, the zone full {4}")
    @CsvSource({
        "array, one zone, die, false, false",
        "array, one zone, cut, true, true",
        "gang, one zone, die, true, true",
        "service, one zone, cut, false, true",
        "array, site, die, true, true",
        "gang, site, cut, false, false",
        "service, site, hang, true, true",
        "array, one zone, die, true, true",
        "array, one zone, hang, false, true"
    })
    void jobsBoundToOneZoneLoseMachines(String shape, String by, String how, boolean ends, boolean full) {
        SimulatedCluster w = new SimulatedCluster(3);
        w.zones = List.of("a", "b");
        w.runS = 80;
        Map<String, Object> more = new HashMap<>(by.equals("site") ? Map.of("site", "a") : Map.of("oneZone", true));
        if (shape.equals("service")) {
            more.put("shape", "daemon");
        }
        for (int i = 1; i <= 4; i++) {
            w.accept(id(i), 8, shape.equals("gang"), more);
        }
        assertTrue(w.until(60, () -> on(w, id(1)) + on(w, id(2)) + on(w, id(3)) + on(w, id(4)) == 32), "all run");
        if (full) {
            for (String z : List.of("a", "b")) {
                w.zoneCapacity.put(z, (int) w.workers.values().stream()
                        .filter(k -> k.zone.equals(z))
                        .count());
            }
        }
        int i = 0;
        for (SimulatedCluster.Worker k : new ArrayList<>(w.workers.values())) {
            if (i++ % 3 == 0) {
                continue;
            }
            if (how.equals("die")) {
                k.die();
            } else if (how.equals("cut")) {
                k.cut = true;
                w.in(24, () -> k.cut = false);
            } else {
                k.hangsUntil = w.now + 9.2;
            }
        }
        if (ends) {
            w.leader().restartAfter(0.4);
        }
        w.run(26);
        w.runS = 5;
        if (shape.equals("service")) {
            w.run(60);
            for (int j = 1; j <= 4; j++) {
                assertEquals(8, on(w, id(j)), "all replicas run again");
            }
            for (int j = 1; j <= 4; j++) {
                w.nodes.get(0).abort(id(j));
            }
        }
        end(w, 250);
    }

    /** A job bound to one zone loses machines while only the other zone has room: it waits for its own. */
    @ParameterizedTest(name = "{0}, the leader ends {1}")
    @CsvSource({"array, false", "array, true", "service, false", "service, true"})
    void whatIsBoundToAZoneDoesNotGoWhereThereIsRoom(String shape, boolean ends) {
        SimulatedCluster w = new SimulatedCluster(3);
        w.zones = List.of("a", "b");
        w.runS = 120;
        Map<String, Object> more = new HashMap<>(Map.of("oneZone", true));
        if (shape.equals("service")) {
            more.put("shape", "daemon");
        }
        w.accept(id(1), 8, false, more);
        assertTrue(w.until(60, () -> on(w, id(1)) == 8));
        String zone = w.workers.values().stream()
                .filter(k -> !k.held().isEmpty())
                .findFirst()
                .orElseThrow()
                .zone;
        String elsewhere = zone.equals("a") ? "b" : "a";
        w.zoneCapacity.put(zone, 0);
        w.worker(elsewhere);
        w.worker(elsewhere);
        w.run(6);
        List<SimulatedCluster.Worker> there = w.workers.values().stream()
                .filter(k -> k.zone.equals(zone))
                .sorted(java.util.Comparator.comparingInt(k -> k.held().size()))
                .toList();
        for (SimulatedCluster.Worker k : there.subList(0, there.size() - 1)) {
            k.die();
        }
        if (ends) {
            w.leader().restartAfter(0.4);
        }
        w.run(14);
        assertTrue(on(w, id(1)) <= 4, "room elsewhere is none for it");
        w.zoneCapacity.clear();
        w.run(60);
        if (shape.equals("service")) {
            assertEquals(8, on(w, id(1)));
            w.nodes.get(0).abort(id(1));
        }
        w.runS = 5;
        end(w, 200);
    }

    /** Workers that reach nobody while orders directly to them arrive, and the leader changes or jobs are cancelled. */
    @ParameterizedTest(name = "for {0} s, the leader ends {1}, cancelled {2}, {3}")
    @CsvSource({
        "6, false, true, array",
        "14, false, true, gang",
        "14, true, false, array",
        "30, true, true, gang",
        "30, false, false, service",
        "8, true, true, service"
    })
    void workersThatReachNobodyButHearOrders(double forS, boolean ends, boolean cancelled, String shape) {
        SimulatedCluster w = new SimulatedCluster(3);
        w.runS = 60;
        submit(w, 1, shape, 8);
        submit(w, 2, shape, 4);
        assertTrue(allStarted(w, 12));
        w.run(2);
        List<SimulatedCluster.Worker> mute = new ArrayList<>(w.workers.values());
        for (SimulatedCluster.Worker k : mute) {
            k.mute = true;
            w.in(forS, () -> k.mute = false);
        }
        w.run(0.5);
        if (cancelled) {
            assertEquals("withdrawn", w.nodes.get(0).abort(id(1)).get("status"));
        }
        if (ends) {
            w.leader().restartAfter(0.3);
        }
        submit(w, 3, shape, 4); // starts may go directly to them
        w.run(forS + 10);
        if (shape.equals("service")) {
            for (int i = 1; i <= 3; i++) {
                w.nodes.get(0).abort(id(i));
            }
        }
        end(w, 200);
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

    /** All controllers are away for longer than a lease, and jobs are cancelled just before or just after. */
    @ParameterizedTest(name = "for {0} s, cancelled before {1}, {2}")
    @CsvSource({"12, true, array", "12, false, gang", "25, true, gang", "25, false, array", "12, true, service"})
    void allControllersAwayForLongerThanALease(double forS, boolean before, String shape) {
        SimulatedCluster w = new SimulatedCluster(3);
        w.runS = 100;
        for (int i = 1; i <= 3; i++) {
            submit(w, i, shape, 4);
        }
        assertTrue(allStarted(w, 12));
        w.run(3);
        if (before) {
            assertEquals("withdrawn", w.nodes.get(1).abort(id(1)).get("status"));
        }
        for (SimulatedCluster.Node n : w.nodes) {
            n.restartAfter(forS);
        }
        w.run(forS + 0.1);
        if (!before) {
            assertTrue(w.until(
                    20,
                    () -> "withdrawn"
                            .equals(String.valueOf(w.nodes.get(1).abort(id(1)).get("status")))));
        }
        w.run(SimulatedCluster.CANCEL_S + 1);
        assertEquals(0, on(w, id(1)));
        w.runS = 5;
        end(w, 200);
    }

    /** A cancellation, a question or a repeated submission meets the end of a job's last task. */
    @ParameterizedTest(name = "{0}, {1} s after the end")
    @CsvSource({
        "array, -0.4",
        "array, -0.05",
        "array, 0",
        "array, 0.05",
        "array, 0.25",
        "array, 0.5",
        "gang, -0.05",
        "gang, 0.1",
        "gang, 0.4",
        "gang, 0.9"
    })
    void aCancellationMeetsTheEndOfTheLastTask(String shape, double afterS) {
        SimulatedCluster w = new SimulatedCluster(3);
        w.runS = 6;
        for (int i = 1; i <= 8; i++) {
            submit(w, i, shape, 2);
        }
        assertTrue(allStarted(w, 16));
        boolean[] met = new boolean[9];
        for (double t = 0; t < 12; t += 0.05) {
            w.in(t, () -> {
                for (int i = 1; i <= 8; i++) {
                    String id = id(i);
                    double least = w.workers.values().stream()
                            .flatMap(k -> k.held().stream())
                            .filter(x -> x.job.equals(id))
                            .mapToDouble(x -> x.ranS)
                            .min()
                            .orElse(99);
                    if (met[i] || least < w.runS + Math.min(0, afterS) - 0.01) {
                        continue;
                    }
                    met[i] = true;
                    w.in(Math.max(0, afterS), () -> {
                        for (SimulatedCluster.Node n : w.nodes) {
                            n.askLater("abort", id, r -> n.users.abort(id, r), null);
                            n.askLater("poll", id, r -> n.users.poll(id, r), null);
                            n.repeat(id);
                        }
                    });
                }
            });
        }
        w.run(14);
        for (int i = 1; i <= 8; i++) {
            assertTrue(met[i]);
        }
        end(w, 60);
    }

    /** More work than room, urgent and not, over slow links, while the leader ends. */
    @ParameterizedTest(name = "links {0} s slow, the leader ends {1}")
    @CsvSource({"0.3, false", "0.8, true", "1.2, false"})
    void moreWorkThanRoomOverSlowLinks(double slowS, boolean ends) {
        SimulatedCluster w =
                new SimulatedCluster(3, List.of(new Team("t", 0, 0, 0, 0, 1), new Team("u", 8, 0, 0, 0, 1)));
        w.capacity = 4;
        w.runS = 45;
        w.commandLateS = slowS;
        w.state.slowS = slowS / 4;
        for (int i = 1; i <= 4; i++) {
            w.accept(id(i), 10, false, Map.of("urgency", "idle"));
        }
        w.run(8);
        for (int i = 11; i <= 14; i++) {
            Map<String, Object> more = new HashMap<>(Map.of("urgency", i % 2 == 0 ? "prod" : "high", "crew", "u"));
            if (i % 2 == 0) {
                more.put("shape", "daemon");
            }
            w.accept(id(i), 6, false, more);
        }
        w.run(4);
        if (ends) {
            w.leader().restartAfter(2);
        }
        w.run(20);
        for (int i = 12; i <= 14; i += 2) {
            assertEquals(6, on(w, id(i)), "what is urgent has taken the place of what is not");
        }
        w.commandLateS = 0;
        w.state.slowS = 0;
        w.runS = 6;
        for (int i = 12; i <= 14; i += 2) {
            w.nodes.get(0).abort(id(i));
        }
        end(w, 250);
    }

    /** Bad input is answered the same under faults as on a quiet day: never stored, and what was accepted stays so. */
    @ParameterizedTest(name = "{0}")
    @ValueSource(strings = {"new leader", "leader refused", "outage", "lost answers", "late writes"})
    void oddRequestsAmidFaults(String fault) {
        SimulatedCluster w = new SimulatedCluster(3, List.of(new Team("t", 0, 40, 0, 0, 1)));
        w.runS = 3;
        w.accept(id(1), 3, false);
        assertTrue(w.until(60, () -> "done".equals(w.status(id(1), 5))));
        w.runS = 60;
        w.accept(id(2), 3, false);
        w.run(2);
        SimulatedCluster.Node l = w.leader();
        switch (fault) {
            case "new leader" -> l.restartAfter(0.3);
            case "leader refused" -> l.link = StateStandIn.Link.REFUSED;
            case "outage" -> w.state.outage = true;
            case "lost answers" -> w.nodes.forEach(n -> n.link = StateStandIn.Link.UNHEARD);
            default -> w.nodes.forEach(n -> n.link = StateStandIn.Link.LATE);
        }
        for (int round = 0; round < 5; round++) {
            for (SimulatedCluster.Node n : w.nodes) {
                Map<String, Object> missing = new HashMap<>();
                missing.put("urgency", null);
                among(n.submit(id(10), 3, false, missing), 400, 503);
                among(n.submit(id(11), 3, false, Map.of("vcpus", 5.0)), 422, 503);
                among(n.submit(id(12), 41, true), 422, 503);
                among(n.submit(id(13), 3, false, Map.of("crew", "nobody")), 422, 503);
                among(n.submit(id(2), 3, false, Map.of("vcpus", -1.0)), 200, 503);
                among(n.submit(id(2), 3, false, missing), 200, 503);
                among(n.poll(id(14)), 404, 503);
                among(n.abort(id(14)), 404, 503);
                Map<String, Object> a = n.abort(id(1));
                if (a != null && (int) a.get("code") == 200) {
                    assertEquals("done", a.get("status"));
                }
            }
            w.run(0.7);
        }
        for (SimulatedCluster.Node n : w.nodes) {
            n.link = StateStandIn.Link.GOOD;
        }
        w.state.recover();
        w.run(5);
        for (int i = 10; i <= 14; i++) {
            assertEquals(null, w.state.value("j/" + id(i)));
            assertEquals(null, w.state.value("f/" + id(i)));
        }
        w.runS = 5;
        end(w, 100);
    }

    private static void among(Map<String, Object> answer, int... codes) {
        if (answer == null) {
            return; // its process has ended
        }
        for (int c : codes) {
            if ((int) answer.get("code") == c) {
                return;
            }
        }
        assertEquals(codes[0], answer.get("code"));
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

    /** Several aborts of jobs whose machines hang within their lease: they hold when the machines go on. */
    @ParameterizedTest(name = "hung {0} s from {1} s before the abort, the leader ends {2}, {3}")
    @CsvSource({
        "9, 0.2, false, array",
        "9, 5, false, gang",
        "9.5, 0.1, true, array",
        "9, 3, true, gang",
        "9, 1, true, service",
        "6, 0.5, true, array"
    })
    void cancelledTasksOnMachinesThatHangWithinTheirLease(double forS, double beforeS, boolean ends, String shape) {
        SimulatedCluster w = new SimulatedCluster(3);
        w.runS = 200;
        submit(w, 1, shape, 8);
        submit(w, 2, shape, 4);
        assertTrue(allStarted(w, 12));
        w.run(3);
        for (SimulatedCluster.Worker k : w.workers.values()) {
            k.hangsUntil = w.now + forS;
        }
        w.run(beforeS);
        assertEquals("withdrawn", w.nodes.get(0).abort(id(1)).get("status"));
        if (ends) {
            w.leader().restartAfter(0.2);
        }
        w.run(forS - beforeS + 0.1);
        // And once more as soon as they are back, each within its lease.
        w.run(0.4);
        for (SimulatedCluster.Worker k : w.workers.values()) {
            k.hangsUntil = w.now + forS;
        }
        if (ends && w.leader() != null) {
            w.leader().restartAfter(0.2);
        }
        w.run(SimulatedCluster.CANCEL_S + 1);
        assertEquals(0, on(w, id(1)));
        w.runS = 5;
        if (shape.equals("service")) {
            w.nodes.get(0).abort(id(2));
        }
        end(w, 200);
    }
}
