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
import org.mountlug.api.UserResponseCodec;
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
            w.submitUntilAccepted(id(from + i), 1 + i % 4 * 3, i % 3 == 2);
        }
    }

    private static void allDone(SimulatedCluster w, int from, int count, double mostS) {
        for (int i = 0; i < count; i++) {
            String id = id(from + i);
            assertTrue(
                    w.runUntil(mostS, () -> w.pollStatus(id, 5).equals("done")),
                    () -> id + " is " + w.pollStatus(id, 5));
        }
        assertEquals(List.of(), w.violations());
    }

    @ParameterizedTest(name = "{0} controllers")
    @ValueSource(ints = {1, 3, 5, 7})
    void aQuietDayRunsEverything(int controllers) {
        SimulatedCluster w = new SimulatedCluster(controllers);
        jobs(w, 1, 9);
        allDone(w, 1, 9, 120);
        assertEquals(
                1, w.controllers.stream().filter(n -> n.controller.isLeading()).count());
    }

    /** Each end of processes, with what is back after a moment, a while, or amid the election that follows. */
    @ParameterizedTest(name = "{0} of 5 controllers end, back after {1} s, again after {2} s")
    @CsvSource({"1, 5, 0", "1, 0.2, 0", "5, 5, 0", "5, 0.2, 0", "5, 0.3, 0.9", "3, 0.1, 4.2", "5, 8, 11"})
    void everyAcceptedJobOutlivesTheEndOfControllers(int count, double back, double again) {
        SimulatedCluster w = new SimulatedCluster(5);
        jobs(w, 1, 6);
        w.submitUntilAccepted(id(50), 400, false);
        w.runFor(3);
        for (int round = 0; round < (again > 0 ? 2 : 1); round++) {
            List<SimulatedCluster.ControllerProcess> ends = new ArrayList<>(w.controllers);
            SimulatedCluster.ControllerProcess leader = w.leader();
            if (leader != null) {
                ends.remove(leader);
                ends.add(0, leader);
            }
            for (SimulatedCluster.ControllerProcess n : ends.subList(0, count)) {
                n.restartAfter(back);
            }
            if (round == 0 && again > 0) {
                w.runFor(again);
            }
        }
        w.runFor(back);
        for (int i : new int[] {1, 2, 3, 4, 5, 6, 50}) {
            String s = w.pollStatus(id(i), ANSWERED_S);
            assertTrue(List.of("pending", "running", "done").contains(s), s);
        }
        allDone(w, 1, 6, 200);
        allDone(w, 50, 1, 300);
    }

    /** The protocol's largest job, with everything ending in the middle of it, and no value over its limit. */
    @Test
    void aJobOfTheLargestSizeStaysKnownAndRuns() {
        SimulatedCluster w = new SimulatedCluster(3);
        w.submitUntilAccepted(id(1), 100_000, false);
        assertTrue(w.runUntil(120, () -> w.pollStatus(id(1), 5).equals("running")));
        w.runFor(40);
        for (SimulatedCluster.ControllerProcess n : w.controllers) {
            n.restartAfter(0.5);
        }
        w.runFor(1);
        assertEquals("running", w.pollStatus(id(1), ANSWERED_S));
        w.submitUntilAccepted(id(2), 8, false);
        allDone(w, 2, 1, 240);
        assertTrue(w.stateService.largestValueBytes > 500);
    }

    /** What a job's answer must not depend on: records that cannot be read, of others, and lost watches. */
    @ParameterizedTest(name = "{0}")
    @ValueSource(strings = {"unreadable record", "outage", "outage and all ended", "leader refused", "leader silent"})
    void eachJobIsAnsweredAboutOnceTroublesAreOver(String trouble) {
        SimulatedCluster w = new SimulatedCluster(3);
        jobs(w, 1, 5);
        w.runFor(4);
        SimulatedCluster.ControllerProcess leader = w.leader();
        switch (trouble) {
            case "unreadable record" -> {
                w.stateService.writeUnchecked("j/" + id(900), Map.of("s", Map.of("u", 99, "n", "x"), "p", "?.?"));
                w.stateService.writeUnchecked("r/" + id(901), Map.of("t", List.of("nonsense")));
                for (SimulatedCluster.ControllerProcess n : w.controllers) {
                    n.restartAfter(1);
                }
            }
            case "leader refused" -> leader.stateLink = FakeStateService.Link.REFUSED;
            case "leader silent" -> leader.stateLink = FakeStateService.Link.PARTITIONED;
            default -> w.stateService.outage = true;
        }
        w.runFor(8);
        if (trouble.endsWith("all ended")) {
            for (SimulatedCluster.ControllerProcess n : w.controllers) {
                n.restartAfter(1);
            }
        }
        w.runFor(12);
        leader.stateLink = FakeStateService.Link.HEALTHY;
        w.stateService.recover();
        for (int i = 1; i <= 5; i++) {
            String s = w.pollStatus(id(i), ANSWERED_S);
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
        w.taskDurationS = 8;
        for (int i = 0; i < 4; i++) {
            w.submitUntilAccepted(id(100 + i), 20, false, Map.of("crew", team, "urgency", others));
        }
        Map<String, Object> big = new HashMap<>(Map.of("urgency", urgency));
        if (gang) {
            big.putAll(Map.of("vcpus", 4.0));
        }
        w.submitUntilAccepted(id(1), tasks, gang, big);
        for (int i = 0; i < 24; i++) {
            w.submitUntilAccepted(id(200 + i), 30, false, Map.of("crew", team, "urgency", others));
            w.runFor(10);
            if (w.pollStatus(id(1), 5).equals("running")) {
                break;
            }
        }
        assertTrue(List.of("running", "done").contains(w.pollStatus(id(1), 5)), w.pollStatus(id(1), 5));
        assertEquals(List.of(), w.violations());
    }

    /** Its reports arrive, but it hears nothing: it gets no more work, and what it had goes on elsewhere. */
    @ParameterizedTest(name = "gang {0}, deaf from the start {1}")
    @CsvSource({"false, false", "true, false", "false, true", "true, true"})
    void aMachineThatHearsNothingIsNoticed(boolean gang, boolean fromTheStart) {
        SimulatedCluster w = new SimulatedCluster(3);
        w.taskDurationS = 20;
        w.submitUntilAccepted(id(9), 1, false);
        assertTrue(w.runUntil(60, () -> !w.workers.isEmpty()));
        SimulatedCluster.Worker deaf = w.workers.values().iterator().next();
        w.runFor(4);
        deaf.inboundBlocked = fromTheStart;
        w.submitUntilAccepted(id(1), gang ? 8 : 12, gang);
        if (!fromTheStart) {
            assertTrue(w.runUntil(60, () -> !deaf.tasks.isEmpty()));
            deaf.inboundBlocked = true;
        }
        allDone(w, 1, 1, gang ? 130 : 90);
        allDone(w, 9, 1, 60);
        // Without any use it is given back, and no work is held up by it meanwhile.
        int starts = deaf.startCount;
        w.submitUntilAccepted(id(2), 12, false);
        allDone(w, 2, 1, 90);
        assertEquals(starts, deaf.startCount);
        w.heldCommands.forEach(Runnable::run);
        w.runFor(5);
        assertEquals(List.of(), w.violations());
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
        w.submitUntilAccepted(id(9), 1, false);
        w.runFor(12);
        w.commandDelayS = lateS;
        w.taskDurationS = 15;
        w.submitUntilAccepted(id(1), 6, true);
        w.submitUntilAccepted(id(2), 4, true);
        w.runFor(2);
        if (aborted) {
            w.controllers.get(0).cancel(id(1));
        }
        if (newLeader) {
            w.leader().restartAfter(1);
        }
        w.runFor(40);
        w.commandDelayS = 0;
        if (aborted) {
            assertEquals("withdrawn", w.pollStatus(id(1), ANSWERED_S));
        } else {
            allDone(w, 1, 1, 150);
        }
        allDone(w, 2, 1, 150);
        w.runFor(70);
        assertEquals(List.of(), w.violations());
    }

    /** Copies of old reports, to the same leader or a new one, prove, extend and revive nothing. */
    @ParameterizedTest(name = "copies {0} s late, new leader {1}")
    @CsvSource({"3, false", "3, true", "15, false", "15, true", "40, false", "40, true"})
    void lateCopiesOfReportsChangeNothing(double lateS, boolean newLeader) {
        SimulatedCluster w = new SimulatedCluster(3);
        w.taskDurationS = 12;
        jobs(w, 1, 8);
        w.runFor(10);
        List<Report> copies = new ArrayList<>();
        for (SimulatedCluster.Worker k : w.workers.values()) {
            copies.addAll(k.sentReports);
        }
        if (newLeader) {
            w.leader().restartAfter(6);
        }
        // One machine of an older session, and one that is gone for good.
        SimulatedCluster.Worker cut = w.workers.values().iterator().next();
        cut.disconnected = true;
        w.schedule(14, () -> cut.disconnected = false);
        for (Report r : copies) {
            w.schedule(lateS, () -> {
                for (SimulatedCluster.ControllerProcess n : w.controllers) {
                    if (n.up) {
                        n.controller.handleReport(r);
                    }
                }
            });
        }
        w.runFor(lateS + 1);
        allDone(w, 1, 8, 200);
        w.runFor(90);
        assertTrue(w.workers.size() <= 2, "idle machines are returned in spite of the copies");
        for (Report r : copies) {
            for (SimulatedCluster.ControllerProcess n : w.controllers) {
                n.controller.handleReport(r);
            }
        }
        w.runFor(30);
        assertEquals(List.of(), w.violations());
    }

    /** Neither state service nor peers, but its workers: nothing starts, and an abort elsewhere holds in time. */
    @ParameterizedTest(name = "for {0} s, transactions held back: {1}")
    @CsvSource({"12, false", "40, true", "70, true"})
    void aLeaderWithNothingButItsWorkersDoesNoHarm(double forS, boolean late) {
        SimulatedCluster w = new SimulatedCluster(3);
        w.taskDurationS = 300;
        w.submitUntilAccepted(id(1), 8, false);
        assertTrue(w.runUntil(60, () -> w.pollStatus(id(1), 5).equals("running")));
        w.runFor(5);
        SimulatedCluster.ControllerProcess old = w.leader();
        old.stateLink = FakeStateService.Link.PARTITIONED;
        old.cutFromPeers = true;
        w.runFor(6);
        int starts = w.workers.values().stream().mapToInt(k -> k.startCount).sum();
        SimulatedCluster.ControllerProcess other =
                w.controllers.stream().filter(n -> n != old).findFirst().orElseThrow();
        assertTrue(w.runUntil(10, () -> w.leader() != null && w.leader() != old), "another one leads");
        // Through the cut leader nobody gets an answer older than one given; none at all is right.
        Map<String, Object> a = other.cancel(id(1));
        assertNotNull(a);
        assertEquals("withdrawn", a.get("status"));
        Map<String, Object> stale = old.poll(id(1));
        assertTrue(stale == null || (int) stale.get("code") != 200 || "withdrawn".equals(stale.get("status")));
        w.submitUntilAccepted(id(2), 2, false);
        w.runFor(SimulatedCluster.CANCEL_DEADLINE_S + 1);
        for (SimulatedCluster.Worker k : w.workers.values()) {
            assertTrue(k.tasks.values().stream().noneMatch(t -> t.jobId.equals(id(1))), "gone in time");
        }
        assertTrue(starts >= 8);
        w.runFor(Math.max(0, forS - SimulatedCluster.CANCEL_DEADLINE_S));
        old.stateLink = FakeStateService.Link.HEALTHY;
        old.cutFromPeers = false;
        if (late) {
            w.stateService.heldTransactions.forEach(Runnable::run);
        }
        w.taskDurationS = 2;
        w.runFor(5);
        assertEquals("withdrawn", w.pollStatus(id(1), ANSWERED_S));
        assertEquals("withdrawn", old.poll(id(1)).get("status"));
        allDone(w, 2, 1, 100);
        assertEquals(
                1, w.controllers.stream().filter(n -> n.controller.isLeading()).count());
    }

    /** A machine's worker is back at once as if new; late repeats of what was sent before do nothing. */
    @Test
    void aMachineBackWithinAFractionOfASecondStartsAnew() {
        SimulatedCluster w = new SimulatedCluster(3);
        w.taskDurationS = 15;
        w.submitUntilAccepted(id(1), 8, false);
        assertTrue(w.runUntil(60, () -> w.pollStatus(id(1), 5).equals("running")));
        for (SimulatedCluster.Worker k : new ArrayList<>(w.workers.values())) {
            k.tasks.clear();
            k.session++;
            k.leaseStartS = w.nowS;
            k.token = 0;
        }
        SimulatedCluster.ControllerProcess leader = w.leader();
        leader.restartAfter(0.2); // in the middle of it an election too
        allDone(w, 1, 1, 120);
    }

    /** Submissions, aborts and polls repeated at any later time give the final answer and nothing else. */
    @Test
    void lateRepeatsOfRequestsChangeNothing() {
        SimulatedCluster w = new SimulatedCluster(3);
        w.submitUntilAccepted(id(1), 3, false);
        w.submitUntilAccepted(id(2), 3, false);
        w.runFor(2);
        assertEquals("withdrawn", w.controllers.get(0).cancel(id(2)).get("status"));
        allDone(w, 1, 1, 60);
        w.runFor(40);
        for (SimulatedCluster.ControllerProcess n : w.controllers) {
            n.restartAfter(0.3);
        }
        w.runFor(10);
        for (SimulatedCluster.ControllerProcess n : w.controllers) {
            assertEquals("done", n.submit(id(1), 3, false).get("status"));
            assertEquals("done", n.cancel(id(1)).get("status"));
            assertEquals("withdrawn", n.submit(id(2), 3, false).get("status"));
            assertEquals("withdrawn", n.cancel(id(2)).get("status"));
            assertEquals(404, n.poll(id(3)).get("code"));
            assertEquals(404, n.cancel(id(3)).get("code"));
        }
        assertEquals(List.of(), w.violations());
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
        w.runFor(5);
        SimulatedCluster.ControllerProcess n = w.controllers.get(1);
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
        double asked = w.nowS;
        Map<String, Object> a = what.equals("not CBOR")
                ? n.ask(r -> n.users.submit(new byte[] {-1, 3}, r))
                : n.submit(id(1), tasks, what.startsWith("gang"), more);
        assertEquals(code, a.get("code"));
        assertTrue(w.nowS - asked < 0.6);
    }

    /** More than a node's part of the budget is refused at once, with none of it lost. */
    @Test
    void whatPassesTheBudgetIsRefusedAtOnce() {
        SimulatedCluster w = new SimulatedCluster(3);
        w.runFor(5);
        List<Integer> codes = new ArrayList<>();
        for (int i = 0; i < 400; i++) {
            w.controllers.get(1).users.poll(id(500 + i), answer -> codes.add(UserResponseCodec.status(answer)));
        }
        long refused = codes.stream().filter(c -> c == 429).count();
        assertTrue(refused > 100, "at once, before any answer of the state service");
        w.runFor(2);
        assertEquals(400, codes.size());
        assertEquals(400 - refused, codes.stream().filter(c -> c == 404).count());
    }

    /** What cannot be served is answered at once, so that the user can ask again or elsewhere. */
    @ParameterizedTest(name = "{0}")
    @ValueSource(strings = {"outage", "refused"})
    void whatCannotBeServedIsAnsweredAtOnce(String trouble) {
        SimulatedCluster w = new SimulatedCluster(3);
        w.submitUntilAccepted(id(1), 3, false);
        w.runFor(5);
        if (trouble.equals("outage")) {
            w.stateService.outage = true;
        } else {
            w.controllers.forEach(n -> n.stateLink = FakeStateService.Link.REFUSED);
        }
        double asked = w.nowS;
        assertEquals(503, w.controllers.get(1).submit(id(7), 3, false).get("code"));
        assertEquals(503, w.controllers.get(1).cancel(id(1)).get("code"));
        assertTrue(w.nowS - asked < 1.1);
    }

    /** A leader that has ended is missed for less than its hold lasts, and is not taken for ended by a filter. */
    @ParameterizedTest(name = "{0} controllers, filter {1}")
    @CsvSource({"3, false", "7, false", "3, true", "7, true"})
    void anEndedLeaderIsReplacedSoonButNotOneBehindAFilter(int controllers, boolean filter) {
        SimulatedCluster w = new SimulatedCluster(controllers);
        w.submitUntilAccepted(id(1), 2, false);
        w.runFor(10);
        SimulatedCluster.ControllerProcess old = w.leader();
        long token = old.token();
        if (filter) {
            w.peersRefuseConnections = true;
        } else {
            old.kill();
        }
        w.runFor(3.4);
        if (filter) {
            w.runFor(20);
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
        w.taskDurationS = 12;
        jobs(w, 1, 6);
        w.runFor(10);
        SimulatedCluster.ControllerProcess old = w.leader();
        old.pauseDurationS = forS;
        if (at.equals("any")) {
            old.pause(forS);
        } else {
            old.pauseBeforePath = at;
        }
        List<SimulatedCluster.ControllerProcess> others =
                w.controllers.stream().filter(n -> n != old).toList();
        for (int i = 20; i < 24; i++) {
            assertEquals(201, others.get(0).submit(id(i), 5, i % 2 == 0).get("code"));
        }
        assertTrue(w.runUntil(8, () -> old.pausedUntilS > 0));
        w.runFor(1);
        SimulatedCluster.ControllerProcess other = others.get(1);
        if (aborted) {
            for (int i = 20; i < 22; i++) {
                assertEquals("withdrawn", other.cancel(id(i)).get("status"));
            }
        }
        w.runFor(Math.max(0, old.pausedUntilS - w.nowS - 0.001));
        // The first that it reads on waking is what waited in its sockets.
        if (forS > 4) {
            w.nowS = old.pausedUntilS;
            for (SimulatedCluster.Worker k : w.workers.values()) {
                assertFalse(
                        old.controller.handleReport(k.createReport()) instanceof Controller.ReportResponse.Commands,
                        "no answer on old belief");
            }
        }
        w.runFor(40);
        for (int i = 20; i < 22; i++) {
            if (aborted) {
                assertEquals("withdrawn", w.pollStatus(id(i), ANSWERED_S));
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
        w.taskDurationS = 80;
        w.submitUntilAccepted(id(1), 16, false);
        assertTrue(w.runUntil(
                60,
                () -> w.workers.values().stream().mapToInt(k -> k.startCount).sum() == 16));
        w.runFor(15);
        SimulatedCluster.ControllerProcess old = w.leader();
        old.cutFromWorkers = true;
        w.schedule(37, () -> old.cutFromWorkers = false);
        assertTrue(w.runUntil(14, () -> w.leader() != null && w.leader() != old), "another one leads");
        allDone(w, 1, 1, 120);
        assertEquals(16, w.workers.values().stream().mapToInt(k -> k.startCount).sum(), "nothing was lost");
    }

    /** A leader whose machines are all cut off from everybody has nobody to give way to. */
    @Test
    void aLeaderWhoseMachinesAreAllCutOffGoesOn() {
        SimulatedCluster w = new SimulatedCluster(3);
        w.taskDurationS = 30;
        w.submitUntilAccepted(id(1), 16, false);
        w.runFor(25);
        long token = w.leader().token();
        for (SimulatedCluster.Worker k : w.workers.values()) {
            k.disconnected = true;
            w.schedule(20, () -> k.disconnected = false);
        }
        w.runFor(40);
        assertEquals(token, w.leader().token());
        allDone(w, 1, 1, 120);
    }

    /** Idle machines that stand ready when a leader ends are neither rented again nor given up by the next one. */
    @ParameterizedTest(name = "back after {0} s")
    @ValueSource(doubles = {0.2, 8})
    void aNewLeaderKeepsTheMachinesThereAre(double back) {
        SimulatedCluster w = new SimulatedCluster(3);
        w.taskDurationS = 25;
        w.submitUntilAccepted(id(1), 40, false, Map.of("dueS", 35.0));
        assertTrue(w.runUntil(60, () -> w.pollStatus(id(1), 5).equals("done")));
        w.taskDurationS = 6;
        int rented = w.machinesRented;
        List<String> there = List.copyOf(w.workers.keySet());
        assertTrue(there.size() >= 5, "idle machines are left");
        w.leader().stateLink = FakeStateService.Link.PARTITIONED; // what is asked now is left to the next leader
        w.controllers.stream()
                .filter(n -> n != w.leader())
                .findFirst()
                .orElseThrow()
                .submit(id(3), 4 * there.size(), false, Map.of("dueS", 20.0));
        w.leader().stateLink = FakeStateService.Link.HEALTHY;
        w.leader().restartAfter(back);
        w.runFor(8);
        assertEquals(there, List.copyOf(w.workers.keySet()));
        allDone(w, 3, 1, 60);
        assertEquals(rented, w.machinesRented, "rented again");
    }

    /** Its own silence is not the machines': nothing is given up for it, though it still leads on waking. */
    @Test
    void aLeaderThatStoodStillAmidAnOutageCountsNoSilenceOfItsOwn() {
        SimulatedCluster w = new SimulatedCluster(3);
        w.taskDurationS = 60;
        w.submitUntilAccepted(id(1), 12, false);
        assertTrue(w.runUntil(60, () -> w.pollStatus(id(1), 5).equals("running")));
        w.runFor(5);
        SimulatedCluster.ControllerProcess old = w.leader();
        long token = old.token();
        List<String> before = List.copyOf(w.workers.keySet());
        w.stateService.outage = true;
        w.runFor(1);
        old.pause(28);
        w.runFor(27);
        w.stateService.recover();
        w.runFor(8);
        assertEquals(token, w.leader().token());
        assertEquals(before, List.copyOf(w.workers.keySet()));
        allDone(w, 1, 1, 200);
    }

    /** A zone that is cut off while the leader changes is still there when it comes back, idle machines and all. */
    @Test
    void aRoomThatIsCutOffAmidAnElectionIsNotRentedTwice() {
        SimulatedCluster w = new SimulatedCluster(3);
        w.taskDurationS = 25;
        w.submitUntilAccepted(id(1), 40, false, Map.of("dueS", 35.0));
        assertTrue(w.runUntil(60, () -> w.pollStatus(id(1), 5).equals("done")));
        int rented = w.machinesRented;
        List<String> there = List.copyOf(w.workers.keySet());
        assertTrue(there.size() >= 5, "idle machines are left");
        for (SimulatedCluster.Worker k : w.workers.values()) {
            k.disconnected = true;
            w.schedule(60, () -> k.disconnected = false);
        }
        w.leader().restartAfter(3);
        w.submitUntilAccepted(id(2), 20, false);
        w.runFor(65);
        assertEquals(there, List.copyOf(w.workers.keySet()));
        allDone(w, 2, 1, 90);
        assertEquals(rented, w.machinesRented, "rented again");
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
        w.taskDurationS = 25;
        w.submitUntilAccepted(id(1), 12, gang);
        assertTrue(w.runUntil(
                60,
                () -> w.workers.values().stream().mapToInt(k -> k.startCount).sum() == 12));
        w.runFor(3);
        List<SimulatedCluster.Worker> hung = new ArrayList<>(w.workers.values());
        for (SimulatedCluster.Worker k : hung) {
            k.hungUntilS = w.nowS + forS;
        }
        w.runFor(1);
        if (newLeader) {
            w.leader().restartAfter(0.3);
        }
        allDone(w, 1, 1, 200);
        int starts = w.workers.values().stream().mapToInt(k -> k.startCount).sum();
        if (forS < w.workerLeaseS - 2.5 && !newLeader) {
            assertEquals(12, starts, "nothing was given up");
        }
        w.runFor(60);
        assertEquals(List.of(), w.violations());
    }

    /** Many machines stop at the same moment: gangs are placed again as wholes, and only what waits is rented for. */
    @ParameterizedTest(name = "{0} of 20 machines die, {1} are cut off for {2} s")
    @CsvSource({"10, 0, 0", "0, 12, 15", "6, 8, 30", "19, 0, 0", "0, 20, 12"})
    void manyMachinesLostTogether(int die, int cut, double cutS) {
        SimulatedCluster w = new SimulatedCluster(3);
        w.cloud.capacity = 60;
        w.taskDurationS = 25;
        for (int i = 1; i <= 4; i++) {
            w.submitUntilAccepted(id(i), 8, true);
        }
        w.submitUntilAccepted(id(5), 48, false);
        assertTrue(w.runUntil(
                60,
                () -> w.workers.values().stream().mapToInt(k -> k.startCount).sum() >= 80));
        int before = w.workers.size();
        int n = 0;
        for (SimulatedCluster.Worker k : new ArrayList<>(w.workers.values())) {
            if (n < die) {
                k.crash();
            } else if (n < die + cut) {
                k.disconnected = true;
                w.schedule(cutS, () -> k.disconnected = false);
            }
            n++;
        }
        allDone(w, 1, 5, 240);
        assertTrue(
                w.machinesRented <= before + die + cut + 4,
                "rented " + w.machinesRented + " of " + before + " at first");
    }

    /** What fails every task or runs it slowly is kept from work and returned; a bad job condemns no machine. */
    @ParameterizedTest(name = "sick {0}, slow {1}, bad job {2}")
    @CsvSource({"true, 1, false", "false, 3, false", "false, 1, true", "true, 3, true"})
    void badMachinesAreNoticedFromOutcomes(boolean sick, double slow, boolean badJob) {
        SimulatedCluster w = new SimulatedCluster(3);
        w.cloud.capacity = 6;
        w.taskDurationS = 5;
        w.submitUntilAccepted(id(1), 800, false);
        assertTrue(w.runUntil(60, () -> w.workers.size() == 6));
        w.runFor(8);
        SimulatedCluster.Worker bad = w.workers.values().iterator().next();
        List<String> good =
                w.workers.keySet().stream().filter(k -> !k.equals(bad.name)).toList();
        bad.failsAllTasks = sick;
        bad.slowdownFactor = slow;
        if (badJob) {
            w.failingJobs.add(id(2));
            w.submitUntilAccepted(id(2), 30, false);
        }
        w.runFor(95);
        assertEquals(!sick && slow == 1, w.workers.containsKey(bad.name));
        assertTrue(w.workers.keySet().containsAll(good));
        allDone(w, 1, 1, 400);
    }

    /** What a new leader finds running began it does not know when: nothing that runs on after that is slow. */
    @Test
    void aNewLeaderTakesNoMachineForSlow() {
        SimulatedCluster w = new SimulatedCluster(3);
        w.cloud.capacity = 12;
        w.taskDurationS = 12;
        w.submitUntilAccepted(id(1), 600, false, Map.of("dueS", 60.0));
        assertTrue(w.runUntil(60, () -> w.workers.size() == 12));
        List<String> there = List.copyOf(w.workers.keySet());
        assertTrue(w.runUntil(
                30,
                () -> w.workers.values().stream().mapToInt(k -> k.startCount).sum() >= 48));
        w.runFor(7);
        w.leader().restartAfter(0.5);
        w.runFor(100);
        assertTrue(w.workers.keySet().containsAll(there), "all are kept");
        allDone(w, 1, 1, 400);
    }

    @Test
    void tokensGrowStrictlyFromTermToTerm() {
        SimulatedCluster w = new SimulatedCluster(3);
        w.submitUntilAccepted(id(1), 2, false);
        assertTrue(w.runUntil(60, () -> w.pollStatus(id(1), 5).equals("running")));
        long before = w.leader().token();
        w.leader().restartAfter(0.2);
        w.runFor(10);
        assertTrue(w.leader().token() > before, "a later term has a higher token");
        assertFalse(w.workers.values().stream().anyMatch(k -> k.token < before));
    }
}
