package org.mountlug.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.mountlug.node.FaultScenario.allStarted;
import static org.mountlug.node.FaultScenario.end;
import static org.mountlug.node.FaultScenario.id;
import static org.mountlug.node.FaultScenario.on;
import static org.mountlug.node.FaultScenario.other;
import static org.mountlug.node.FaultScenario.submit;

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
        w.cloud.capacity = 150;
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
