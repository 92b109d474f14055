package org.mountlug.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.mountlug.node.FaultTestSteps.activeTaskCount;
import static org.mountlug.node.FaultTestSteps.assertSettles;
import static org.mountlug.node.FaultTestSteps.jobId;
import static org.mountlug.node.FaultTestSteps.otherController;
import static org.mountlug.node.FaultTestSteps.runUntilStarted;
import static org.mountlug.node.FaultTestSteps.submit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.mountlug.core.model.Team;

/** Cancellations that meet other faults: whoever tells of one, every task of the job is gone in time. */
class CancellationFaultsTest {
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
        w.taskDurationS = 200;
        submit(w, 1, shape, 8);
        assertTrue(runUntilStarted(w, 8));
        w.runFor(4);
        SimulatedCluster.ControllerProcess old = w.leader();
        SimulatedCluster.ControllerProcess first = otherController(w, old);
        SimulatedCluster.ControllerProcess second = w.controllers.stream()
                .filter(n -> n != old && n != first)
                .findFirst()
                .orElseThrow();
        old.stateLink = FakeStateService.Link.REFUSED;
        w.runFor(afterS);
        if (by.equals("abort")) {
            assertEquals("withdrawn", first.cancel(jobId(1)).get("status"));
        } else {
            // The abort is durable, and its answer lost: nobody was told of it yet.
            first.stateLink = FakeStateService.Link.RESPONSES_LOST;
            first.askAsync("abort", jobId(1), r -> first.users.cancel(jobId(1), r), null);
            w.runFor(0.02);
            assertEquals(1, w.stateService.writesWithLostResponse);
            first.stateLink = FakeStateService.Link.HEALTHY;
            SimulatedCluster.ControllerProcess teller = by.equals("third node") ? second : first;
            Map<String, Object> a =
                    switch (by) {
                        case "poll", "third node" -> teller.poll(jobId(1));
                        case "submission" -> {
                            List<Map<String, Object>> got = new ArrayList<>();
                            teller.askAsync(
                                    "submission",
                                    jobId(1),
                                    r -> teller.users.submit(w.originalSubmission(jobId(1)), r),
                                    got::add);
                            w.runUntil(5, () -> !got.isEmpty());
                            yield got.get(0);
                        }
                        default -> teller.cancel(jobId(1));
                    };
            assertEquals("withdrawn", a.get("status"));
        }
        w.runFor(outageS);
        w.stateService.outage = true;
        long token = old.token();
        w.runFor(SimulatedCluster.CANCEL_DEADLINE_S + 1);
        assertTrue(old.controller.isLeading() && old.token() == token, "nobody else could be elected");
        assertEquals(0, activeTaskCount(w, jobId(1)), "gone in time");
        w.runFor(25);
        w.stateService.recover();
        old.stateLink = FakeStateService.Link.HEALTHY;
        assertSettles(w, 100);
        assertEquals("withdrawn", w.outcome(jobId(1)));
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
        w.cloud.capacity = 150;
        w.taskDurationS = 200;
        w.submitUntilAccepted(jobId(1), 8, false);
        int many = what.startsWith("told of") ? 600 : 0;
        for (int i = 0; i < many; i++) {
            w.submitUntilAccepted(jobId(1000 + i), 1, false, Map.of("vcpus", 0.1, "ramGb", 0.1));
        }
        assertTrue(runUntilStarted(w, 8 + many));
        w.runFor(4);
        SimulatedCluster.ControllerProcess old = w.leader();
        SimulatedCluster.ControllerProcess teller = otherController(w, old);
        old.stateLink = FakeStateService.Link.REFUSED;
        w.runFor(0.3);
        if (!what.startsWith("is back in 0.2 s and")) {
            w.runFor(0.4);
        }
        if (what.equals("is cut from its peers")) {
            teller.cutFromPeers = true;
        }
        for (int i = 0; i < many; i++) {
            String j = jobId(1000 + i);
            teller.askAsync("abort", j, r -> teller.users.cancel(j, r), null);
            if (i % 25 == 24) {
                w.runFor(0.05);
            }
        }
        assertEquals("withdrawn", teller.cancel(jobId(1)).get("status"));
        w.runFor(0.01);
        if (what.startsWith("is back")) {
            teller.restartAfter(0.2);
        }
        w.stateService.outage = true;
        w.runFor(SimulatedCluster.CANCEL_DEADLINE_S + 1);
        assertEquals(0, activeTaskCount(w, jobId(1)), "gone in time");
        w.runFor(20);
        teller.cutFromPeers = false;
        w.stateService.recover();
        old.stateLink = FakeStateService.Link.HEALTHY;
        w.taskDurationS = 5;
        assertSettles(w, 120);
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
        w.taskDurationS = 300;
        w.submitUntilAccepted(jobId(1), 8, false);
        for (int i = 2; i < 9; i++) {
            w.submitUntilAccepted(jobId(i), 1, false); // more than a page of records
        }
        assertTrue(runUntilStarted(w, 15));
        w.runFor(4);
        SimulatedCluster.ControllerProcess before = w.leader();
        boolean[] began = new boolean[1];
        w.onTermStart.add(n -> {
            if (n == before || began[0]) {
                return;
            }
            began[0] = true;
            w.schedule(intoS, () -> n.stateLink = FakeStateService.Link.REFUSED);
        });
        if (last.equals("ended")) {
            before.kill();
        } else {
            before.pause(90);
        }
        if (cancelS < 0) {
            assertEquals(
                    "withdrawn", otherController(w, before).cancel(jobId(1)).get("status"));
        }
        assertTrue(w.runUntil(20, () -> began[0]));
        SimulatedCluster.ControllerProcess now = w.leader();
        w.runFor(Math.max(0, cancelS));
        SimulatedCluster.ControllerProcess teller = otherController(w, now);
        if (cancelS >= 0) {
            assertEquals("withdrawn", teller.cancel(jobId(1)).get("status"));
        }
        w.runFor(0.1);
        w.stateService.outage = true;
        w.runFor(forS);
        assertEquals(0, activeTaskCount(w, jobId(1)), "gone in time");
        w.stateService.recover();
        now.stateLink = FakeStateService.Link.HEALTHY;
        if (last.equals("ended")) {
            before.start();
        }
        w.taskDurationS = 5;
        assertSettles(w, 200);
    }

    /** Stops of cancelled jobs need no write and no proof of leading: machines that cannot report get them straight. */
    @ParameterizedTest(name = "{0}")
    @ValueSource(strings = {"array", "gang", "service"})
    void stopsOfCancelledJobsLeaveAtOnceThoughNoWriteCan(String shape) {
        SimulatedCluster w = new SimulatedCluster(3);
        w.taskDurationS = 200;
        submit(w, 1, shape, 8);
        assertTrue(runUntilStarted(w, 8));
        w.runFor(4);
        SimulatedCluster.ControllerProcess old = w.leader();
        old.stateLink = FakeStateService.Link.REFUSED;
        old.cutFromPeers = true;
        w.runFor(2.2);
        assertEquals("withdrawn", otherController(w, old).cancel(jobId(1)).get("status"));
        w.stateService.outage = true;
        for (SimulatedCluster.Worker k : w.workers.values()) {
            k.reportsBlocked = true;
        }
        w.runFor(3); // by now the leader cannot prove that it leads
        old.cutFromPeers = false;
        w.runFor(2.5);
        assertTrue(old.controller.isLeading());
        assertEquals(0, activeTaskCount(w, jobId(1)), "stopped straight, well before their leases run out");
        for (SimulatedCluster.Worker k : w.workers.values()) {
            k.reportsBlocked = false;
        }
        w.stateService.recover();
        old.stateLink = FakeStateService.Link.HEALTHY;
        assertSettles(w, 100);
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
        w.taskDurationS = 3;
        w.submitUntilAccepted(jobId(99), 4, false);
        w.runFor(10);
        int[] looks = new int[1];
        boolean[] on = {true};
        for (SimulatedCluster.ControllerProcess n : w.controllers) {
            n.stateLink = with.equals("lost answers")
                    ? FakeStateService.Link.RESPONSES_LOST
                    : with.equals("late writes") ? FakeStateService.Link.WRITES_DELAYED : FakeStateService.Link.HEALTHY;
        }
        for (int k = 0; k < 6; k++) {
            String id = jobId(1 + k);
            boolean cancel = after.equals("cancelled") || k % 3 == 2;
            w.schedule(k * 1.7, () -> w.controllers.get(id.charAt(8) % 3).submitAsync(id, 3));
            // Again and again at every node, each question a few milliseconds after the last.
            for (int q = 0; q < 500; q++) {
                int turn = q;
                w.schedule(k * 1.7 + 0.004 + q * 0.023, () -> {
                    if (!on[0]) {
                        return;
                    }
                    SimulatedCluster.ControllerProcess n = w.controllers.get(turn % 3);
                    if (turn % 7 == 3) {
                        n.resubmit(id);
                    } else {
                        n.askAsync("poll", id, r -> n.users.poll(id, r), null);
                    }
                    looks[0]++;
                });
            }
            if (cancel) {
                w.schedule(k * 1.7 + (after.equals("cancelled") ? 0.01 + k * 0.4 : 4.4), () -> {
                    for (SimulatedCluster.ControllerProcess n : w.controllers) {
                        n.askAsync("abort", id, r -> n.users.cancel(id, r), null);
                    }
                });
            }
        }
        if (with.equals("new leader")) {
            for (double t : new double[] {2, 6.2}) {
                w.schedule(t, () -> w.leader().restartAfter(0.2));
            }
        }
        if (with.equals("refused")) {
            w.schedule(4, () -> {
                SimulatedCluster.ControllerProcess l = w.leader();
                l.stateLink = FakeStateService.Link.REFUSED;
                w.schedule(7, () -> l.stateLink = FakeStateService.Link.HEALTHY);
            });
        }
        w.runFor(22);
        on[0] = false;
        if (with.equals("lost answers")) {
            assertTrue(w.stateService.writesWithLostResponse > 5, "answers were lost");
        }
        if (with.equals("late writes")) {
            assertTrue(w.stateService.delayedWritesSucceeded > 2, "late ones were carried out");
        }
        for (SimulatedCluster.ControllerProcess n : w.controllers) {
            n.stateLink = FakeStateService.Link.HEALTHY;
        }
        assertTrue(looks[0] > 2500);
        assertSettles(w, 120);
        assertTrue(w.acceptedJobs().size() > 3, "some were accepted meanwhile");
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
        w.taskDurationS = 6;
        w.submitUntilAccepted(jobId(1), 1, false);
        assertTrue(runUntilStarted(w, 1));
        SimulatedCluster.ControllerProcess old = w.leader();
        SimulatedCluster.ControllerProcess teller = otherController(w, old);
        boolean[] met = new boolean[1];
        // The moment of the write that ends the job: the abort is there first, and from then on the leader is refused.
        w.stateService.onTransaction = (from, body) -> {
            if (met[0] || from != old || !body.toString().contains("delete=j/" + jobId(1))) {
                return;
            }
            met[0] = true;
            w.stateService.onTransaction = null;
            Map<String, Object> v =
                    new HashMap<>(org.mountlug.wire.Fields.asMap(w.stateService.value("j/" + jobId(1))));
            v.put("x", true);
            w.stateService.writeUnchecked("j/" + jobId(1), v);
            w.schedule(beforeS, () -> {
                old.stateLink = FakeStateService.Link.REFUSED;
                old.cutFromPeers = old.cutFromWorkers = true;
            });
            w.schedule(
                    beforeS + 0.001,
                    () -> teller.askAsync("abort", jobId(1), r -> teller.users.cancel(jobId(1), r), null));
        };
        assertTrue(w.runUntil(30, () -> met[0]));
        assertTrue(
                w.runUntil(15, () -> w.leader() != old && w.stateService.value("f/" + jobId(1)) != null),
                "another leader finished it");
        // It reads what became of its write in the moment in which it still takes itself for the leader.
        w.runFor(backS);
        old.stateLink = FakeStateService.Link.HEALTHY;
        for (int i = 0; i < 40; i++) {
            w.runFor(0.05);
            for (SimulatedCluster.ControllerProcess n : w.controllers) {
                n.askAsync("poll", jobId(1), r -> n.users.poll(jobId(1), r), null);
            }
        }
        old.cutFromPeers = old.cutFromWorkers = false;
        assertSettles(w, 60);
        assertEquals("withdrawn", w.outcome(jobId(1)));
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
        w.taskDurationS = 150;
        for (int i = 1; i <= 3; i++) {
            submit(w, i, shape, 8);
        }
        for (int i = 11; i <= 13; i++) {
            w.submitUntilAccepted(jobId(i), 4, false, Map.of("crew", "u"));
        }
        assertTrue(
                w.runUntil(90, () -> w.usedCpus("t") >= 24 && w.usedCpus("u") >= 12), "both teams are at their limits");
        for (int i = 4; i <= 6; i++) {
            submit(w, i, shape, 8);
        }
        for (int i = 14; i <= 16; i++) {
            w.submitUntilAccepted(jobId(i), 4, false, Map.of("crew", "u"));
        }
        w.runFor(3);
        List<SimulatedCluster.Worker> lost = new ArrayList<>(w.workers.values()).subList(0, w.workers.size() / 2 + 1);
        SimulatedCluster.ControllerProcess old = w.leader();
        if (endsS < 0) {
            old.restartAfter(1);
        }
        for (SimulatedCluster.Worker k : lost) {
            k.disconnected = how.equals("cut");
            k.reportsBlocked = how.equals("mute");
            k.inboundBlocked = how.equals("deaf");
            if (how.equals("hang")) {
                k.hungUntilS = w.nowS + forS;
            }
            w.schedule(forS, () -> k.disconnected = k.reportsBlocked = k.inboundBlocked = false);
        }
        w.runFor(0.2);
        assertTrue(w.usedCpus("t") >= 24 - 1e-6, "still at its limit");
        SimulatedCluster.ControllerProcess teller =
                w.controllers.stream().filter(n -> n != old).findFirst().orElseThrow();
        for (int i : new int[] {1, 2, 11}) {
            teller.cancel(jobId(i));
        }
        if (endsS >= 0) {
            w.schedule(endsS, () -> old.restartAfter(1));
        }
        w.runFor(forS + 5);
        assertTrue(w.cancelAcknowledgedAtS.containsKey(jobId(1)));
        w.taskDurationS = 5;
        for (int i = 1; i <= 6; i++) {
            if (shape.equals("service") && i > 2) {
                w.controllers.get(0).cancel(jobId(i));
            }
        }
        assertSettles(w, 200);
        assertTrue(w.peakTeamLimitShare > 0.99);
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
        w.taskDurationS = 120;
        for (int i = 1; i <= 4; i++) {
            submit(w, i, shape, 4);
        }
        assertTrue(runUntilStarted(w, 16));
        w.runFor(3);
        int[] told = new int[1];
        for (int i = 1; i <= 3; i++) {
            String id = jobId(i);
            double at = 1 + atS + i * 0.13;
            for (int n = 0; n < 5; n++) {
                SimulatedCluster.ControllerProcess node = w.controllers.get(n);
                w.schedule(
                        at + n * 0.4, () -> node.askAsync("abort", id, r -> node.users.cancel(id, r), m -> told[0]++));
            }
        }
        w.schedule(1, () -> w.leader().restartAfter(0.3));
        w.schedule(6, () -> {
            if (w.leader() != null) {
                w.leader().restartAfter(0.1);
            }
        });
        w.schedule(9, () -> {
            for (SimulatedCluster.ControllerProcess n : w.controllers) {
                n.restartAfter(0.2 + 0.3 * w.controllers.indexOf(n)); // all end, and one is back first
            }
        });
        w.runFor(SimulatedCluster.CANCEL_DEADLINE_S + 14);
        assertTrue(told[0] >= 3);
        for (int i = 1; i <= 3; i++) {
            assertEquals(0, activeTaskCount(w, jobId(i)));
        }
        w.taskDurationS = 5;
        assertSettles(w, 200);
    }

    /** One-task jobs four a second, a quarter of them cancelled, many submitted again once over, while leaders change. */
    @Test
    void aSwarmOfOneTaskJobsAQuarterCancelled() {
        SimulatedCluster w = new SimulatedCluster(3);
        w.taskDurationS = 2;
        w.stateService.rps = 200;
        w.stateService.writeRps = 25;
        for (int i = 0; i < 240; i++) {
            int n = i;
            w.schedule(2 + i * 0.25, () -> {
                SimulatedCluster.ControllerProcess a = w.controllers.get(n % 3);
                if (a.up) {
                    a.submitAsync(jobId(n), 1);
                }
                if (n % 3 == 0) {
                    w.schedule(6 + n % 11, () -> {
                        if (w.acceptedJobs().contains(jobId(n))) {
                            w.controllers.get((n + 2) % 3).resubmit(jobId(n));
                        }
                    });
                }
                if (n % 4 == 1) {
                    w.schedule(0.05 + n % 13 * 0.3, () -> {
                        SimulatedCluster.ControllerProcess b = w.controllers.get((n + 1) % 3);
                        b.askAsync("abort", jobId(n), r -> b.users.cancel(jobId(n), r), null);
                    });
                }
            });
        }
        for (double t = 12; t < 60; t += 12) {
            w.schedule(t, () -> {
                if (w.leader() != null) {
                    w.leader().restartAfter(0.5);
                }
            });
        }
        w.runFor(66);
        assertTrue(w.acceptedJobs().size() > 150);
        assertTrue(w.cancelAcknowledgedAtS.size() > 30);
        // Some eight changes a second come from users and as many from the work: both have their part of the limit.
        assertTrue(
                w.stateService.rateLimitedRequests <= 5,
                () -> w.stateService.rateLimitedRequests + " requests were over the limits");
        assertSettles(w, 150);
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
        w.taskDurationS = 30;
        w.submitUntilAccepted(jobId(90), 24, false, Map.of("dueS", 20.0));
        assertTrue(w.runUntil(60, () -> activeTaskCount(w, jobId(90)) == 24));
        w.controllers.get(0).cancel(jobId(90));
        w.runFor(4);
        w.latestStartAfterCancelS = -1;
        int[] met = new int[1];
        SimulatedCluster.ControllerProcess old = w.leader();
        SimulatedCluster.ControllerProcess teller = otherController(w, old);
        for (int i = 1; i <= 4; i++) {
            String id = jobId(i);
            w.schedule(0.35 * i, () -> teller.submitAsync(id, 5));
        }
        w.stateService.onTransaction = (from, body) -> {
            for (int i = 1; i <= 4; i++) {
                String id = jobId(i);
                if (from != old
                        || w.cancelAcknowledgedAtS.containsKey(id)
                        || !body.toString().contains("put=j/" + id)) {
                    continue;
                }
                w.schedule(afterS, () -> {
                    if (leader.equals("refused")) {
                        old.stateLink = FakeStateService.Link.REFUSED;
                    }
                    if (leader.equals("ends") && old.up) {
                        old.restartAfter(0.3);
                    }
                    teller.askAsync("abort", id, r -> teller.users.cancel(id, r), a -> met[0]++);
                });
            }
        };
        w.runFor(5);
        w.stateService.onTransaction = null;
        old.stateLink = FakeStateService.Link.HEALTHY;
        assertTrue(met[0] > 0, "jobs were cancelled just after they were placed");
        w.runFor(10);
        double most = leader.equals("refused") ? 1.1 : 0.4;
        assertTrue(w.latestStartAfterCancelS < most, () -> "a start " + w.latestStartAfterCancelS + " s after");
        assertSettles(w, 100);
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
        w.taskDurationS = 6;
        for (int i = 1; i <= 8; i++) {
            submit(w, i, shape, 2);
        }
        assertTrue(runUntilStarted(w, 16));
        boolean[] met = new boolean[9];
        for (double t = 0; t < 12; t += 0.05) {
            w.schedule(t, () -> {
                for (int i = 1; i <= 8; i++) {
                    String id = jobId(i);
                    double least = w.workers.values().stream()
                            .flatMap(k -> k.activeTasks().stream())
                            .filter(x -> x.jobId.equals(id))
                            .mapToDouble(x -> x.ranS)
                            .min()
                            .orElse(99);
                    if (met[i] || least < w.taskDurationS + Math.min(0, afterS) - 0.01) {
                        continue;
                    }
                    met[i] = true;
                    w.schedule(Math.max(0, afterS), () -> {
                        for (SimulatedCluster.ControllerProcess n : w.controllers) {
                            n.askAsync("abort", id, r -> n.users.cancel(id, r), null);
                            n.askAsync("poll", id, r -> n.users.poll(id, r), null);
                            n.resubmit(id);
                        }
                    });
                }
            });
        }
        w.runFor(14);
        for (int i = 1; i <= 8; i++) {
            assertTrue(met[i]);
        }
        assertSettles(w, 60);
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
        w.taskDurationS = 200;
        submit(w, 1, shape, 8);
        submit(w, 2, shape, 4);
        assertTrue(runUntilStarted(w, 12));
        w.runFor(3);
        for (SimulatedCluster.Worker k : w.workers.values()) {
            k.hungUntilS = w.nowS + forS;
        }
        w.runFor(beforeS);
        assertEquals("withdrawn", w.controllers.get(0).cancel(jobId(1)).get("status"));
        if (ends) {
            w.leader().restartAfter(0.2);
        }
        w.runFor(forS - beforeS + 0.1);
        // And once more as soon as they are back, each within its lease.
        w.runFor(0.4);
        for (SimulatedCluster.Worker k : w.workers.values()) {
            k.hungUntilS = w.nowS + forS;
        }
        if (ends && w.leader() != null) {
            w.leader().restartAfter(0.2);
        }
        w.runFor(SimulatedCluster.CANCEL_DEADLINE_S + 1);
        assertEquals(0, activeTaskCount(w, jobId(1)));
        w.taskDurationS = 5;
        if (shape.equals("service")) {
            w.controllers.get(0).cancel(jobId(2));
        }
        assertSettles(w, 200);
    }
}
