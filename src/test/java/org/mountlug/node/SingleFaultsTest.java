package org.mountlug.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
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
import org.mountlug.api.UserAnswerCodec;
import org.mountlug.core.model.Report;
import org.mountlug.core.model.Team;

/**
 * Whole controllers against stand-ins in memory, through the troubles to expect. In every case the workers check that
 * nothing runs twice or after its abort, and the state service that no limit is passed.
 */
class SingleFaultsTest {
    /** Seconds within which each job must be answered about once troubles are over. */
    private static final double ANSWERED_S = 75;

    private static String id(int n) {
        return String.format("wk-%06d", n);
    }

    private static void jobs(SimulatedCluster w, int from, int count) {
        for (int i = 0; i < count; i++) {
            w.accept(id(from + i), 1 + i % 4 * 3, i % 3 == 2);
        }
    }

    private static void allDone(SimulatedCluster w, int from, int count, double mostS) {
        for (int i = 0; i < count; i++) {
            String id = id(from + i);
            assertTrue(w.until(mostS, () -> w.status(id, 5).equals("done")), () -> id + " is " + w.status(id, 5));
        }
        assertEquals(List.of(), w.broken());
    }

    @ParameterizedTest(name = "{0} controllers")
    @ValueSource(ints = {1, 3, 5, 7})
    void aQuietDayRunsEverything(int controllers) {
        SimulatedCluster w = new SimulatedCluster(controllers);
        jobs(w, 1, 9);
        allDone(w, 1, 9, 120);
        assertEquals(1, w.nodes.stream().filter(n -> n.controller.leads()).count());
    }

    /** Each end of processes, with what is back after a moment, a while, or amid the election that follows. */
    @ParameterizedTest(name = "{0} of 5 controllers end, back after {1} s, again after {2} s")
    @CsvSource({"1, 5, 0", "1, 0.2, 0", "5, 5, 0", "5, 0.2, 0", "5, 0.3, 0.9", "3, 0.1, 4.2", "5, 8, 11"})
    void everyAcceptedJobOutlivesTheEndOfControllers(int count, double back, double again) {
        SimulatedCluster w = new SimulatedCluster(5);
        jobs(w, 1, 6);
        w.accept(id(50), 400, false);
        w.run(3);
        for (int round = 0; round < (again > 0 ? 2 : 1); round++) {
            List<SimulatedCluster.Node> ends = new ArrayList<>(w.nodes);
            SimulatedCluster.Node leader = w.leader();
            if (leader != null) {
                ends.remove(leader);
                ends.add(0, leader);
            }
            for (SimulatedCluster.Node n : ends.subList(0, count)) {
                n.restartAfter(back);
            }
            if (round == 0 && again > 0) {
                w.run(again);
            }
        }
        w.run(back);
        for (int i : new int[] {1, 2, 3, 4, 5, 6, 50}) {
            String s = w.status(id(i), ANSWERED_S);
            assertTrue(List.of("pending", "running", "done").contains(s), s);
        }
        allDone(w, 1, 6, 200);
        allDone(w, 50, 1, 300);
    }

    /** The protocol's largest job, with everything ending in the middle of it, and no value over its limit. */
    @Test
    void aJobOfTheLargestSizeStaysKnownAndRuns() {
        SimulatedCluster w = new SimulatedCluster(3);
        w.accept(id(1), 100_000, false);
        assertTrue(w.until(120, () -> w.status(id(1), 5).equals("running")));
        w.run(40);
        for (SimulatedCluster.Node n : w.nodes) {
            n.restartAfter(0.5);
        }
        w.run(1);
        assertEquals("running", w.status(id(1), ANSWERED_S));
        w.accept(id(2), 8, false);
        allDone(w, 2, 1, 240);
        assertTrue(w.state.largestValue > 500);
    }

    /** What a job's answer must not depend on: records that cannot be read, of others, and lost watches. */
    @ParameterizedTest(name = "{0}")
    @ValueSource(strings = {"unreadable record", "outage", "outage and all ended", "leader refused", "leader silent"})
    void eachJobIsAnsweredAboutOnceTroublesAreOver(String trouble) {
        SimulatedCluster w = new SimulatedCluster(3);
        jobs(w, 1, 5);
        w.run(4);
        SimulatedCluster.Node leader = w.leader();
        switch (trouble) {
            case "unreadable record" -> {
                w.state.scribble("j/" + id(900), Map.of("s", Map.of("u", 99, "n", "x"), "p", "?.?"));
                w.state.scribble("r/" + id(901), Map.of("t", List.of("nonsense")));
                for (SimulatedCluster.Node n : w.nodes) {
                    n.restartAfter(1);
                }
            }
            case "leader refused" -> leader.link = StateStandIn.Link.REFUSED;
            case "leader silent" -> leader.link = StateStandIn.Link.SILENT;
            default -> w.state.outage = true;
        }
        w.run(8);
        if (trouble.endsWith("all ended")) {
            for (SimulatedCluster.Node n : w.nodes) {
                n.restartAfter(1);
            }
        }
        w.run(12);
        leader.link = StateStandIn.Link.GOOD;
        w.state.recover();
        for (int i = 1; i <= 5; i++) {
            String s = w.status(id(i), ANSWERED_S);
            assertTrue(List.of("pending", "running", "done").contains(s), s);
        }
        jobs(w, 20, 2);
        allDone(w, 1, 5, 200);
        allDone(w, 20, 2, 100);
    }

    /** A stream of work of a higher priority, or of another team, may delay a job, but never keep it from beginning. */
    @ParameterizedTest(name = "big job of {0} tasks, {1}, gang {2}, behind {3} of team {4}")
    @CsvSource({
        "300, standard, false, high, t",
        "300, high, false, high, u",
        "4, standard, true, high, t",
        "200, idle, false, prod, u",
        "4, high, true, high, t"
    })
    void noQueueStarvesAJob(int tasks, String urgency, boolean gang, String others, String team) {
        SimulatedCluster w =
                new SimulatedCluster(3, List.of(new Team("t", 0, 0, 0, 0, 1), new Team("u", 0, 0, 0, 0, 1)));
        w.cloud.capacity = 5;
        w.runS = 8;
        for (int i = 0; i < 4; i++) {
            w.accept(id(100 + i), 20, false, Map.of("crew", team, "urgency", others));
        }
        Map<String, Object> big = new HashMap<>(Map.of("urgency", urgency));
        if (gang) {
            big.putAll(Map.of("vcpus", 4.0));
        }
        w.accept(id(1), tasks, gang, big);
        for (int i = 0; i < 24; i++) {
            w.accept(id(200 + i), 30, false, Map.of("crew", team, "urgency", others));
            w.run(10);
            if (w.status(id(1), 5).equals("running")) {
                break;
            }
        }
        assertTrue(List.of("running", "done").contains(w.status(id(1), 5)), w.status(id(1), 5));
        assertEquals(List.of(), w.broken());
    }

    /** Its reports arrive, but it hears nothing: it gets no more work, and what it had goes on elsewhere. */
    @ParameterizedTest(name = "gang {0}, deaf from the start {1}")
    @CsvSource({"false, false", "true, false", "false, true", "true, true"})
    void aMachineThatHearsNothingIsNoticed(boolean gang, boolean fromTheStart) {
        SimulatedCluster w = new SimulatedCluster(3);
        w.runS = 20;
        w.accept(id(9), 1, false);
        assertTrue(w.until(60, () -> !w.workers.isEmpty()));
        SimulatedCluster.Worker deaf = w.workers.values().iterator().next();
        w.run(4);
        deaf.deaf = fromTheStart;
        w.accept(id(1), gang ? 8 : 12, gang);
        if (!fromTheStart) {
            assertTrue(w.until(60, () -> !deaf.tasks.isEmpty()));
            deaf.deaf = true;
        }
        allDone(w, 1, 1, gang ? 130 : 90);
        allDone(w, 9, 1, 60);
        // Without any use it is given back, and no work is held up by it meanwhile.
        int starts = deaf.starts;
        w.accept(id(2), 12, false);
        allDone(w, 2, 1, 90);
        assertEquals(starts, deaf.starts);
        w.heldCommands.forEach(Runnable::run);
        w.run(5);
        assertEquals(List.of(), w.broken());
    }

    /** Orders sent directly to a worker that come late, with no answer: nothing runs twice or after its abort. */
    @ParameterizedTest(name = "{0} s late, aborted {1}, new leader {2}")
    @CsvSource({
        "1, false, false",
        "3, true, false",
        "6, false, false",
        "6, true, false",
        "25, false, false",
        "25, true, false",
        "45, true, false",
        "60, true, true",
        "9, false, true"
    })
    void lateOrdersStraightToWorkersDoNoHarm(double lateS, boolean aborted, boolean newLeader) {
        SimulatedCluster w = new SimulatedCluster(3);
        w.accept(id(9), 1, false);
        w.run(12);
        w.commandLateS = lateS;
        w.runS = 15;
        w.accept(id(1), 6, true);
        w.accept(id(2), 4, true);
        w.run(2);
        if (aborted) {
            w.nodes.get(0).abort(id(1));
        }
        if (newLeader) {
            w.leader().restartAfter(1);
        }
        w.run(40);
        w.commandLateS = 0;
        if (aborted) {
            assertEquals("withdrawn", w.status(id(1), ANSWERED_S));
        } else {
            allDone(w, 1, 1, 150);
        }
        allDone(w, 2, 1, 150);
        w.run(70);
        assertEquals(List.of(), w.broken());
    }

    /** Copies of old reports, to the same leader or a new one, prove, extend and revive nothing. */
    @ParameterizedTest(name = "copies {0} s late, new leader {1}")
    @CsvSource({"3, false", "3, true", "15, false", "15, true", "40, false", "40, true"})
    void lateCopiesOfReportsChangeNothing(double lateS, boolean newLeader) {
        SimulatedCluster w = new SimulatedCluster(3);
        w.runS = 12;
        jobs(w, 1, 8);
        w.run(10);
        List<Report> copies = new ArrayList<>();
        for (SimulatedCluster.Worker k : w.workers.values()) {
            copies.addAll(k.sent);
        }
        if (newLeader) {
            w.leader().restartAfter(6);
        }
        // One machine of an older session, and one that is gone for good.
        SimulatedCluster.Worker cut = w.workers.values().iterator().next();
        cut.cut = true;
        w.in(14, () -> cut.cut = false);
        for (Report r : copies) {
            w.in(lateS, () -> {
                for (SimulatedCluster.Node n : w.nodes) {
                    if (n.up) {
                        n.controller.handleReport(r);
                    }
                }
            });
        }
        w.run(lateS + 1);
        allDone(w, 1, 8, 200);
        w.run(90);
        assertTrue(w.workers.size() <= 2, "idle machines are returned in spite of the copies");
        for (Report r : copies) {
            for (SimulatedCluster.Node n : w.nodes) {
                n.controller.handleReport(r);
            }
        }
        w.run(30);
        assertEquals(List.of(), w.broken());
    }

    /** Neither state service nor peers, but its workers: nothing starts, and an abort elsewhere holds in time. */
    @ParameterizedTest(name = "for {0} s, transactions held back: {1}")
    @CsvSource({"12, false", "40, true", "70, true"})
    void aLeaderWithNothingButItsWorkersDoesNoHarm(double forS, boolean late) {
        SimulatedCluster w = new SimulatedCluster(3);
        w.runS = 300;
        w.accept(id(1), 8, false);
        assertTrue(w.until(60, () -> w.status(id(1), 5).equals("running")));
        w.run(5);
        SimulatedCluster.Node old = w.leader();
        old.link = StateStandIn.Link.SILENT;
        old.cutFromPeers = true;
        w.run(6);
        int starts = w.workers.values().stream().mapToInt(k -> k.starts).sum();
        SimulatedCluster.Node other =
                w.nodes.stream().filter(n -> n != old).findFirst().orElseThrow();
        assertTrue(w.until(10, () -> w.leader() != null && w.leader() != old), "another one leads");
        // Through the cut leader nobody gets an answer older than one given; none at all is right.
        Map<String, Object> a = other.abort(id(1));
        assertNotNull(a);
        assertEquals("withdrawn", a.get("status"));
        Map<String, Object> stale = old.poll(id(1));
        assertTrue(stale == null || (int) stale.get("code") != 200 || "withdrawn".equals(stale.get("status")));
        w.accept(id(2), 2, false);
        w.run(SimulatedCluster.CANCEL_S + 1);
        for (SimulatedCluster.Worker k : w.workers.values()) {
            assertTrue(k.tasks.values().stream().noneMatch(t -> t.job.equals(id(1))), "gone in time");
        }
        assertTrue(starts >= 8);
        w.run(Math.max(0, forS - SimulatedCluster.CANCEL_S));
        old.link = StateStandIn.Link.GOOD;
        old.cutFromPeers = false;
        if (late) {
            w.state.heldBack.forEach(Runnable::run);
        }
        w.runS = 2;
        w.run(5);
        assertEquals("withdrawn", w.status(id(1), ANSWERED_S));
        assertEquals("withdrawn", old.poll(id(1)).get("status"));
        allDone(w, 2, 1, 100);
        assertEquals(1, w.nodes.stream().filter(n -> n.controller.leads()).count());
    }

    /** A machine's worker is back at once as if new; late repeats of what was sent before do nothing. */
    @Test
    void aMachineBackWithinAFractionOfASecondStartsAnew() {
        SimulatedCluster w = new SimulatedCluster(3);
        w.runS = 15;
        w.accept(id(1), 8, false);
        assertTrue(w.until(60, () -> w.status(id(1), 5).equals("running")));
        for (SimulatedCluster.Worker k : new ArrayList<>(w.workers.values())) {
            k.tasks.clear();
            k.session++;
            k.leaseFrom = w.now;
            k.token = 0;
        }
        SimulatedCluster.Node leader = w.leader();
        leader.restartAfter(0.2); // in the middle of it an election too
        allDone(w, 1, 1, 120);
    }

    /** Submissions, aborts and polls repeated at any later time give the final answer and nothing else. */
    @Test
    void lateRepeatsOfRequestsChangeNothing() {
        SimulatedCluster w = new SimulatedCluster(3);
        w.accept(id(1), 3, false);
        w.accept(id(2), 3, false);
        w.run(2);
        assertEquals("withdrawn", w.nodes.get(0).abort(id(2)).get("status"));
        allDone(w, 1, 1, 60);
        w.run(40);
        for (SimulatedCluster.Node n : w.nodes) {
            n.restartAfter(0.3);
        }
        w.run(10);
        for (SimulatedCluster.Node n : w.nodes) {
            assertEquals("done", n.submit(id(1), 3, false).get("status"));
            assertEquals("done", n.abort(id(1)).get("status"));
            assertEquals("withdrawn", n.submit(id(2), 3, false).get("status"));
            assertEquals("withdrawn", n.abort(id(2)).get("status"));
            assertEquals(404, n.poll(id(3)).get("code"));
            assertEquals(404, n.abort(id(3)).get("code"));
        }
        assertEquals(List.of(), w.broken());
    }

    /** What is wrong with a body is said at once; what a job that was accepted looks like later changes nothing. */
    @ParameterizedTest(name = "{0}: {1}")
    @CsvSource({
        "good, 201",
        "the largest, 201",
        "not CBOR, 400",
        "over 64 KiB, 400",
        "too many tasks, 400",
        "no tasks, 400",
        "field missing, 400",
        "unknown shape, 400",
        "unknown team, 422",
        "fits no type, 422",
        "gang over limit, 422",
        "array over limit, 201",
        "known already, 200"
    })
    void submissionsAreJudgedAtOnce(String what, int code) {
        SimulatedCluster w = new SimulatedCluster(3, List.of(new Team("t", 0, 40, 0, 0, 1)));
        w.run(5);
        SimulatedCluster.Node n = w.nodes.get(1);
        Map<String, Object> more = new HashMap<>();
        switch (what) {
            case "field missing" -> more.put("urgency", null);
            case "unknown shape" -> more.put("shape", "heap");
            case "unknown team" -> more.put("crew", "nobody");
            case "fits no type" -> more.put("vcpus", 5.0);
            case "over 64 KiB" -> more.put("note", "x".repeat(70_000));
            case "known already" -> {
                assertEquals(201, n.submit(id(1), 3, false).get("code"));
                more.put("vcpus", -1.0);
            }
            default -> {}
        }
        int tasks =
                switch (what) {
                    case "the largest" -> 100_000;
                    case "too many tasks" -> 100_001;
                    case "no tasks" -> 0;
                    case "gang over limit", "array over limit" -> 41;
                    default -> 3;
                };
        double asked = w.now;
        Map<String, Object> a = what.equals("not CBOR")
                ? n.ask(r -> n.users.submit(new byte[] {-1, 3}, r))
                : n.submit(id(1), tasks, what.startsWith("gang"), more);
        assertEquals(code, a.get("code"));
        assertTrue(w.now - asked < 0.6);
    }

    /** More than a node's part of the budget is refused at once, with none of it lost. */
    @Test
    void whatPassesTheBudgetIsRefusedAtOnce() {
        SimulatedCluster w = new SimulatedCluster(3);
        w.run(5);
        List<Integer> codes = new ArrayList<>();
        for (int i = 0; i < 400; i++) {
            w.nodes.get(1).users.poll(id(500 + i), answer -> codes.add(UserAnswerCodec.status(answer)));
        }
        long refused = codes.stream().filter(c -> c == 429).count();
        assertTrue(refused > 100, "at once, before any answer of the state service");
        w.run(2);
        assertEquals(400, codes.size());
        assertEquals(400 - refused, codes.stream().filter(c -> c == 404).count());
    }

    /** What cannot be served is answered at once, so that the user can ask again or elsewhere. */
    @ParameterizedTest(name = "{0}")
    @ValueSource(strings = {"outage", "refused"})
    void whatCannotBeServedIsAnsweredAtOnce(String trouble) {
        SimulatedCluster w = new SimulatedCluster(3);
        w.accept(id(1), 3, false);
        w.run(5);
        if (trouble.equals("outage")) {
            w.state.outage = true;
        } else {
            w.nodes.forEach(n -> n.link = StateStandIn.Link.REFUSED);
        }
        double asked = w.now;
        assertEquals(503, w.nodes.get(1).submit(id(7), 3, false).get("code"));
        assertEquals(503, w.nodes.get(1).abort(id(1)).get("code"));
        assertTrue(w.now - asked < 1.1);
    }

    /** A leader that has ended is missed for less than its hold lasts, and is not taken for ended by a filter. */
    @ParameterizedTest(name = "{0} controllers, filter {1}")
    @CsvSource({"3, false", "7, false", "3, true", "7, true"})
    void anEndedLeaderIsReplacedSoonButNotOneBehindAFilter(int controllers, boolean filter) {
        SimulatedCluster w = new SimulatedCluster(controllers);
        w.accept(id(1), 2, false);
        w.run(10);
        SimulatedCluster.Node old = w.leader();
        long token = old.token();
        if (filter) {
            w.peersRefuse = true;
        } else {
            old.kill();
        }
        w.run(3.4);
        if (filter) {
            w.run(20);
            assertEquals(token, w.leader().token());
        } else {
            assertNotNull(w.leader());
            assertTrue(w.leader().token() > token);
        }
        allDone(w, 1, 1, 60);
    }

    /**
     * A leader stands still while its clocks run on, just between a decision and its sending or at any other time: on
     * waking it does not act on what it believed before, and what leaves it late does no harm.
     */
    @ParameterizedTest(name = "for {0} s at {1}, aborted {2}")
    @CsvSource({
        "3, any, false",
        "6, any, true",
        "14, any, true",
        "28, any, false",
        "6, /commands, true",
        "9, /commands, false",
        "28, /commands, true",
        "6, /multi, true",
        "28, /multi, false",
        "12, /holds, true",
        "28, /holds, false"
    })
    void aLeaderThatStoodStillDoesNoHarm(double forS, String at, boolean aborted) {
        SimulatedCluster w = new SimulatedCluster(3);
        w.runS = 12;
        jobs(w, 1, 6);
        w.run(10);
        SimulatedCluster.Node old = w.leader();
        old.freezeForS = forS;
        if (at.equals("any")) {
            old.freeze(forS);
        } else {
            old.freezeAt = at;
        }
        List<SimulatedCluster.Node> others =
                w.nodes.stream().filter(n -> n != old).toList();
        for (int i = 20; i < 24; i++) {
            assertEquals(201, others.get(0).submit(id(i), 5, i % 2 == 0).get("code"));
        }
        assertTrue(w.until(8, () -> old.frozenUntil > 0));
        w.run(1);
        SimulatedCluster.Node other = others.get(1);
        if (aborted) {
            for (int i = 20; i < 22; i++) {
                assertEquals("withdrawn", other.abort(id(i)).get("status"));
            }
        }
        w.run(Math.max(0, old.frozenUntil - w.now - 0.001));
        // The first that it reads on waking is what waited in its sockets.
        if (forS > 4) {
            w.now = old.frozenUntil;
            for (SimulatedCluster.Worker k : w.workers.values()) {
                assertFalse(
                        old.controller.handleReport(k.report()) instanceof Controller.ReportAnswer.Orders,
                        "no answer on old belief");
            }
        }
        w.run(40);
        for (int i = 20; i < 22; i++) {
            if (aborted) {
                assertEquals("withdrawn", w.status(id(i), ANSWERED_S));
            }
        }
        allDone(w, 1, 6, 200);
        allDone(w, aborted ? 22 : 20, aborted ? 2 : 4, 200);
    }

    /** A leader that no worker reaches any more gives up in time for another to renew their leases. */
    @ParameterizedTest(name = "{0} controllers")
    @ValueSource(ints = {3, 7})
    void aLeaderWithoutItsWorkersGivesUpInTime(int controllers) {
        SimulatedCluster w = new SimulatedCluster(controllers, List.of(new Team("t", 0, 0, 0, 0, 1)), 22);
        w.runS = 80;
        w.accept(id(1), 16, false);
        assertTrue(w.until(
                60, () -> w.workers.values().stream().mapToInt(k -> k.starts).sum() == 16));
        w.run(15);
        SimulatedCluster.Node old = w.leader();
        old.cutFromWorkers = true;
        w.in(37, () -> old.cutFromWorkers = false);
        assertTrue(w.until(14, () -> w.leader() != null && w.leader() != old), "another one leads");
        allDone(w, 1, 1, 120);
        assertEquals(16, w.workers.values().stream().mapToInt(k -> k.starts).sum(), "nothing was lost");
    }

    /** A leader whose machines are all cut off from everybody has nobody to give way to. */
    @Test
    void aLeaderWhoseMachinesAreAllCutOffGoesOn() {
        SimulatedCluster w = new SimulatedCluster(3);
        w.runS = 30;
        w.accept(id(1), 16, false);
        w.run(25);
        long token = w.leader().token();
        for (SimulatedCluster.Worker k : w.workers.values()) {
            k.cut = true;
            w.in(20, () -> k.cut = false);
        }
        w.run(40);
        assertEquals(token, w.leader().token());
        allDone(w, 1, 1, 120);
    }

    /** Idle machines that stand ready when a leader ends are neither rented again nor given up by the next one. */
    @ParameterizedTest(name = "back after {0} s")
    @ValueSource(doubles = {0.2, 8})
    void aNewLeaderKeepsTheMachinesThereAre(double back) {
        SimulatedCluster w = new SimulatedCluster(3);
        w.runS = 25;
        w.accept(id(1), 40, false, Map.of("dueS", 35.0));
        assertTrue(w.until(60, () -> w.status(id(1), 5).equals("done")));
        w.runS = 6;
        int rented = w.rented;
        List<String> there = List.copyOf(w.workers.keySet());
        assertTrue(there.size() >= 5, "idle machines are left");
        w.leader().link = StateStandIn.Link.SILENT; // what is asked now is left to the next leader
        w.nodes.stream()
                .filter(n -> n != w.leader())
                .findFirst()
                .orElseThrow()
                .submit(id(3), 4 * there.size(), false, Map.of("dueS", 20.0));
        w.leader().link = StateStandIn.Link.GOOD;
        w.leader().restartAfter(back);
        w.run(8);
        assertEquals(there, List.copyOf(w.workers.keySet()));
        allDone(w, 3, 1, 60);
        assertEquals(rented, w.rented, "rented again");
    }

    /** Its own silence is not the machines': nothing is given up for it, though it still leads on waking. */
    @Test
    void aLeaderThatStoodStillAmidAnOutageCountsNoSilenceOfItsOwn() {
        SimulatedCluster w = new SimulatedCluster(3);
        w.runS = 60;
        w.accept(id(1), 12, false);
        assertTrue(w.until(60, () -> w.status(id(1), 5).equals("running")));
        w.run(5);
        SimulatedCluster.Node old = w.leader();
        long token = old.token();
        List<String> before = List.copyOf(w.workers.keySet());
        w.state.outage = true;
        w.run(1);
        old.freeze(28);
        w.run(27);
        w.state.recover();
        w.run(8);
        assertEquals(token, w.leader().token());
        assertEquals(before, List.copyOf(w.workers.keySet()));
        allDone(w, 1, 1, 200);
    }

    /** A zone that is cut off while the leader changes is still there when it comes back, idle machines and all. */
    @Test
    void aRoomThatIsCutOffAmidAnElectionIsNotRentedTwice() {
        SimulatedCluster w = new SimulatedCluster(3);
        w.runS = 25;
        w.accept(id(1), 40, false, Map.of("dueS", 35.0));
        assertTrue(w.until(60, () -> w.status(id(1), 5).equals("done")));
        int rented = w.rented;
        List<String> there = List.copyOf(w.workers.keySet());
        assertTrue(there.size() >= 5, "idle machines are left");
        for (SimulatedCluster.Worker k : w.workers.values()) {
            k.cut = true;
            w.in(60, () -> k.cut = false);
        }
        w.leader().restartAfter(3);
        w.accept(id(2), 20, false);
        w.run(65);
        assertEquals(there, List.copyOf(w.workers.keySet()));
        allDone(w, 2, 1, 90);
        assertEquals(rented, w.rented, "rented again");
    }

    /** Machines hang and go on: within the lease the tasks are alive, after it the session is another. */
    @ParameterizedTest(name = "for {0} s, gang {1}, new leader {2}")
    @CsvSource({
        "5, false, false",
        "5, true, false",
        "8, false, true",
        "14, false, false",
        "14, true, false",
        "14, false, true",
        "30, true, true"
    })
    void machinesThatHangRunNothingTwice(double forS, boolean gang, boolean newLeader) {
        SimulatedCluster w = new SimulatedCluster(3);
        w.runS = 25;
        w.accept(id(1), 12, gang);
        assertTrue(w.until(
                60, () -> w.workers.values().stream().mapToInt(k -> k.starts).sum() == 12));
        w.run(3);
        List<SimulatedCluster.Worker> hung = new ArrayList<>(w.workers.values());
        for (SimulatedCluster.Worker k : hung) {
            k.hangsUntil = w.now + forS;
        }
        w.run(1);
        if (newLeader) {
            w.leader().restartAfter(0.3);
        }
        allDone(w, 1, 1, 200);
        int starts = w.workers.values().stream().mapToInt(k -> k.starts).sum();
        if (forS < w.leaseS - 2.5 && !newLeader) {
            assertEquals(12, starts, "nothing was given up");
        }
        w.run(60);
        assertEquals(List.of(), w.broken());
    }

    /** Many machines stop at the same moment: gangs are placed again as wholes, and only what waits is rented for. */
    @ParameterizedTest(name = "{0} of 20 machines die, {1} are cut off for {2} s")
    @CsvSource({"10, 0, 0", "0, 12, 15", "6, 8, 30", "19, 0, 0", "0, 20, 12"})
    void manyMachinesLostTogether(int die, int cut, double cutS) {
        SimulatedCluster w = new SimulatedCluster(3);
        w.cloud.capacity = 60;
        w.runS = 25;
        for (int i = 1; i <= 4; i++) {
            w.accept(id(i), 8, true);
        }
        w.accept(id(5), 48, false);
        assertTrue(w.until(
                60, () -> w.workers.values().stream().mapToInt(k -> k.starts).sum() >= 80));
        int before = w.workers.size();
        int n = 0;
        for (SimulatedCluster.Worker k : new ArrayList<>(w.workers.values())) {
            if (n < die) {
                k.die();
            } else if (n < die + cut) {
                k.cut = true;
                w.in(cutS, () -> k.cut = false);
            }
            n++;
        }
        allDone(w, 1, 5, 240);
        assertTrue(w.rented <= before + die + cut + 4, "rented " + w.rented + " of " + before + " at first");
    }

    /** What fails every task or runs it slowly is kept from work and returned; a bad job condemns no machine. */
    @ParameterizedTest(name = "sick {0}, slow {1}, bad job {2}")
    @CsvSource({"true, 1, false", "false, 3, false", "false, 1, true", "true, 3, true"})
    void badMachinesAreNoticedFromOutcomes(boolean sick, double slow, boolean badJob) {
        SimulatedCluster w = new SimulatedCluster(3);
        w.cloud.capacity = 6;
        w.runS = 5;
        w.accept(id(1), 800, false);
        assertTrue(w.until(60, () -> w.workers.size() == 6));
        w.run(8);
        SimulatedCluster.Worker bad = w.workers.values().iterator().next();
        List<String> good =
                w.workers.keySet().stream().filter(k -> !k.equals(bad.name)).toList();
        bad.sick = sick;
        bad.slow = slow;
        if (badJob) {
            w.faulty.add(id(2));
            w.accept(id(2), 30, false);
        }
        w.run(95);
        assertEquals(!sick && slow == 1, w.workers.containsKey(bad.name));
        assertTrue(w.workers.keySet().containsAll(good));
        allDone(w, 1, 1, 400);
    }

    /** What a new leader finds running began it does not know when: nothing that runs on after that is slow. */
    @Test
    void aNewLeaderTakesNoMachineForSlow() {
        SimulatedCluster w = new SimulatedCluster(3);
        w.cloud.capacity = 12;
        w.runS = 12;
        w.accept(id(1), 600, false, Map.of("dueS", 60.0));
        assertTrue(w.until(60, () -> w.workers.size() == 12));
        List<String> there = List.copyOf(w.workers.keySet());
        assertTrue(w.until(
                30, () -> w.workers.values().stream().mapToInt(k -> k.starts).sum() >= 48));
        w.run(7);
        w.leader().restartAfter(0.5);
        w.run(100);
        assertTrue(w.workers.keySet().containsAll(there), "all are kept");
        allDone(w, 1, 1, 400);
    }

    @Test
    void tokensGrowStrictlyFromTermToTerm() {
        SimulatedCluster w = new SimulatedCluster(3);
        w.accept(id(1), 2, false);
        assertTrue(w.until(60, () -> w.status(id(1), 5).equals("running")));
        long before = w.leader().token();
        w.leader().restartAfter(0.2);
        w.run(10);
        assertTrue(w.leader().token() > before, "a later term has a higher token");
        assertFalse(w.workers.values().stream().anyMatch(k -> k.token < before));
    }
}
