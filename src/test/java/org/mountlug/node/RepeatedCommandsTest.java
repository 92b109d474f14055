package org.mountlug.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.mountlug.node.FaultTestSteps.activeTaskCount;
import static org.mountlug.node.FaultTestSteps.jobId;
import static org.mountlug.node.FaultTestSteps.runUntilStarted;
import static org.mountlug.node.FaultTestSteps.submit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.mountlug.core.model.AttemptState;
import org.mountlug.core.model.ExitCause;

/** Direct commands that were executed and answered, and of which copies reach the worker again later. */
class RepeatedCommandsTest {
    /** Most seconds after which an attempt that has exited must have left the reports, in a quiet system. */
    private static final double MAX_FORGET_DELAY_S = 10;
    /** The job whose start commands arrive again. */
    private static final String JOB = jobId(1);

    private static final int TASKS = 4;

    private final SimulatedCluster cluster = new SimulatedCluster(3);

    /** How the attempts end whose start commands arrive again. */
    private enum Ending {
        FAILED,
        MACHINE_FAULTY,
        DONE,
        MOVED,
        STOPPED,
        CANCELLED,
        REFUSED_FULL,
        REFUSED_BUSY
    }

    /** What happens between the end of the attempts and the arrival of the copies. */
    private enum Meanwhile {
        NOTHING,
        MACHINE_HANGS,
        MACHINE_HAS_OTHER_WORK,
        MACHINE_IS_RETURNED,
        LEADER_RESTARTS,
        WORKER_STARTS_NEW_SESSION,
        STATE_SERVICE_OUTAGE
    }

    private void endAttempts(Ending ending, Set<SimulatedWorker> machines) {
        switch (ending) {
            case FAILED -> {
                cluster.failingJobs.add(JOB);
                cluster.runFor(0.3);
                cluster.failingJobs.remove(JOB);
            }
            case MACHINE_FAULTY -> machines.forEach(machine -> machine.failsAllTasks = true);
            case DONE -> cluster.taskDurationS = 1;
            case MOVED -> machines.forEach(machine -> machine.reclaimedAtS = cluster.nowS + 60);
            case STOPPED -> {
                cluster.submitUntilAccepted(jobId(2), 2 * TASKS, false, Map.of("shape", "daemon", "urgency", "prod"));
                cluster.runFor(5);
            }
            case CANCELLED -> cluster.controllers.get(0).cancel(JOB);
            default -> {} // the start was refused
        }
    }

    private void letPass(Meanwhile meanwhile, Set<SimulatedWorker> machines) {
        switch (meanwhile) {
            case MACHINE_HANGS -> machines.forEach(machine -> machine.hungUntilS = cluster.nowS + 4);
            case MACHINE_HAS_OTHER_WORK -> {
                cluster.submitUntilAccepted(jobId(3), 3 * TASKS, false);
                cluster.runFor(3);
            }
            case MACHINE_IS_RETURNED -> cluster.runFor(5);
            case LEADER_RESTARTS -> {
                cluster.leader().restartAfter(0.3);
                cluster.runFor(6);
            }
            case WORKER_STARTS_NEW_SESSION -> {
                machines.forEach(machine -> machine.disconnected = true);
                cluster.runFor(cluster.workerLeaseS + 2);
                machines.forEach(machine -> machine.disconnected = false);
                cluster.runFor(8);
            }
            case STATE_SERVICE_OUTAGE -> {
                cluster.stateService.outage = true;
                cluster.runFor(8);
                cluster.stateService.recover();
            }
            default -> {}
        }
    }

    /** Returns the executed calls with a start of the job's tasks. */
    private List<DirectCommandNetwork.ExecutedCall> startCalls() {
        return cluster.commandNetwork.executedCalls.stream()
                .filter(call -> call.startsTaskOf(JOB))
                .toList();
    }

    private static boolean isForgotten(DirectCommandNetwork.ExecutedCall call) {
        return call.worker().terminated
                || call.startedAttempts().stream()
                        .filter(key -> key.startsWith(JOB + "/"))
                        .noneMatch(call.worker().tasks::containsKey);
    }

    @ParameterizedTest(name = "{0}, {1}, {2}: {4} copies {3} s later")
    @CsvSource({
        "FAILED, array, NOTHING, 0.2, 1",
        "FAILED, array, MACHINE_HAS_OTHER_WORK, 3, 3",
        "FAILED, array, MACHINE_HANGS, 1, 2",
        "MACHINE_FAULTY, array, MACHINE_IS_RETURNED, 0.2, 1",
        "FAILED, array, LEADER_RESTARTS, 0.2, 2",
        "FAILED, array, WORKER_STARTS_NEW_SESSION, 0.2, 1",
        "FAILED, array, STATE_SERVICE_OUTAGE, 5, 1",
        "FAILED, gang, NOTHING, 2, 1",
        "FAILED, gang, LEADER_RESTARTS, 2, 1",
        "FAILED, service, NOTHING, 5, 2",
        "FAILED, service, MACHINE_HANGS, 0.5, 1",
        "DONE, array, NOTHING, 60, 1",
        "DONE, gang, MACHINE_HAS_OTHER_WORK, 0.2, 2",
        "DONE, array, LEADER_RESTARTS, 1, 1",
        "MOVED, service, NOTHING, 0.2, 1",
        "MOVED, service, LEADER_RESTARTS, 3, 3",
        "STOPPED, array, NOTHING, 0.2, 1",
        "MACHINE_FAULTY, gang, NOTHING, 6, 1",
        "CANCELLED, array, NOTHING, 0.2, 1",
        "CANCELLED, array, NOTHING, 40, 2",
        "CANCELLED, gang, NOTHING, 40, 1",
        "CANCELLED, gang, MACHINE_HANGS, 35, 1",
        "CANCELLED, service, NOTHING, 60, 1",
        "CANCELLED, service, LEADER_RESTARTS, 32, 1",
        "REFUSED_FULL, array, NOTHING, 3, 1",
        "REFUSED_FULL, gang, NOTHING, 3, 1",
        "REFUSED_BUSY, service, NOTHING, 3, 1",
        "REFUSED_BUSY, array, LEADER_RESTARTS, 3, 1"
    })
    void copyOfAnExecutedStartStartsNoAttemptAgain(
            Ending ending, String jobType, Meanwhile meanwhile, double delayS, int copies) {
        cluster.taskDurationS = 300;
        if (ending == Ending.STOPPED) {
            cluster.cloud.capacity = 2;
        }
        submit(cluster, 9, ending == Ending.DONE ? "service" : "array", 2);
        assertTrue(runUntilStarted(cluster, 2));
        cluster.runFor(6);
        ExitCause refusalCause =
                ending == Ending.REFUSED_FULL ? ExitCause.FULL : ending == Ending.REFUSED_BUSY ? ExitCause.BUSY : null;
        cluster.workers.values().forEach(worker -> worker.refusalCause = refusalCause);
        submit(cluster, 1, jobType, TASKS);
        if (refusalCause == null) {
            assertTrue(cluster.runUntil(60, () -> activeTaskCount(cluster, JOB) == TASKS));
        }
        assertTrue(cluster.runUntil(60, () -> !startCalls().isEmpty()), "the starts were sent directly");
        List<DirectCommandNetwork.ExecutedCall> calls = new ArrayList<>(startCalls());
        Set<SimulatedWorker> machines = Set.of(calls.get(0).worker());
        cluster.workers.values().forEach(worker -> worker.refusalCause = null);
        if (!jobType.equals("gang")) {
            calls.removeIf(call -> !machines.contains(call.worker()));
        }
        cluster.cloud.down = meanwhile == Meanwhile.MACHINE_IS_RETURNED;
        endAttempts(ending, machines);
        assertTrue(cluster.runUntil(90, () -> calls.stream().allMatch(RepeatedCommandsTest::hasEnded)));
        assertTrue(
                cluster.runUntil(MAX_FORGET_DELAY_S, () -> calls.stream().allMatch(RepeatedCommandsTest::isForgotten)),
                "attempts that have exited leave the reports");
        letPass(meanwhile, machines);
        cluster.runFor(delayS);
        assertTrue(calls.stream().anyMatch(call -> !call.worker().terminated), "a machine is left to get a copy");
        for (int copy = 0; copy < copies; copy++) {
            calls.forEach(cluster.commandNetwork::repeat);
            cluster.runFor(0.5);
        }
        cluster.runFor(10);
        assertEquals(List.of(), cluster.violations());
    }

    @Test
    void copyOfAStopEndsNoLaterAttemptOfAGang() {
        cluster.taskDurationS = 300;
        submit(cluster, 1, "gang", 2 * TASKS);
        assertTrue(cluster.runUntil(60, () -> activeTaskCount(cluster, JOB) == 2 * TASKS));
        cluster.runFor(5);
        SimulatedWorker faulty = startCalls().get(0).worker();
        faulty.failsAllTasks = true;
        cluster.runFor(1);
        faulty.failsAllTasks = false;
        assertTrue(cluster.runUntil(90, () -> activeTaskCount(cluster, JOB) == 2 * TASKS));
        cluster.runFor(5);
        int starts = cluster.startLog.size();
        List<DirectCommandNetwork.ExecutedCall> stops = cluster.commandNetwork.executedCalls.stream()
                .filter(DirectCommandNetwork.ExecutedCall::hasStops)
                .toList();
        assertTrue(!stops.isEmpty(), "tasks of the first attempt were stopped directly");
        stops.forEach(cluster.commandNetwork::repeat);
        cluster.runFor(10);
        assertEquals(2 * TASKS, activeTaskCount(cluster, JOB));
        assertEquals(starts, cluster.startLog.size());
        assertEquals(List.of(), cluster.violations());
    }

    /** Each worker must accept every response, so that its lease goes on, and no controller may take a raised token for a new leader's. */
    @ParameterizedTest(name = "reports {0} s on their way")
    @ValueSource(doubles = {0, 0.3, 1})
    void raisedTokensEndNoWorkerLeaseAndNoTerm(double reportDelayS) {
        cluster.taskDurationS = 2;
        submit(cluster, 90, "service", 2);
        for (int i = 1; i <= 20; i++) {
            submit(cluster, i, i % 3 == 0 ? "gang" : "array", TASKS);
            cluster.workers.values().forEach(worker -> worker.reportDelayS = reportDelayS);
            cluster.runFor(4);
        }
        cluster.runFor(20);
        long token = cluster.leader().token();
        assertEquals(token, readMetric("mountlug_term_token"));
        assertTrue(readMetric("mountlug_machines_token_raised") > 0);
        assertEquals(0, readMetric("mountlug_starts_direct_refused_total"));
        Map<String, Long> tokens = new HashMap<>();
        for (SimulatedWorker worker : cluster.workers.values()) {
            assertEquals(1, worker.session, worker.name);
            assertTrue(worker.token >= token);
            tokens.put(worker.name, worker.token);
        }
        cluster.runFor(60);
        for (SimulatedWorker worker : cluster.workers.values()) {
            assertEquals(tokens.get(worker.name), worker.token, "tokens do not rise in a quiet system");
        }
        assertEquals(token, cluster.leader().token());
        assertEquals(List.of(), cluster.violations());
    }

    /** While direct commands are in flight the token is not raised, so that slow ones must not keep it from rising for long. */
    @ParameterizedTest(name = "direct commands {0} s on their way")
    @ValueSource(doubles = {0.4, 1, 2.2})
    void exitedAttemptsAreForgottenBesideSlowDirectCommands(double commandDelayS) {
        cluster.cloud.capacity = 3;
        cluster.taskDurationS = 1;
        submit(cluster, 1, "array", 400);
        cluster.runFor(10);
        cluster.commandNetwork.delayS = commandDelayS;
        for (int i = 10; i < 60; i++) {
            submit(cluster, i, "service", 1);
            cluster.runFor(1);
            cluster.controllers.get(0).cancel(jobId(i));
            int attempts = reportedAttempts();
            assertTrue(attempts <= 3 * MAX_FORGET_DELAY_S * SimulatedCluster.MACHINE_CPUS, attempts + " attempts");
        }
        cluster.commandNetwork.delayS = 0;
        assertEquals(List.of(), cluster.violations());
    }

    /** During an outage no outcome is durable, so that no attempt is forgotten, but none is started either. */
    @Test
    void exitedAttemptsPileUpNoFurtherDuringAnOutage() {
        cluster.cloud.capacity = 3;
        cluster.taskDurationS = 3;
        submit(cluster, 1, "array", 200);
        cluster.runFor(20);
        cluster.stateService.outage = true;
        cluster.runFor(5);
        int attempts = reportedAttempts();
        cluster.runFor(40);
        assertTrue(reportedAttempts() <= attempts, reportedAttempts() + " attempts, " + attempts + " before");
        cluster.stateService.recover();
        cluster.runFor(1);
        cluster.controllers.get(0).cancel(JOB);
        cluster.runFor(MAX_FORGET_DELAY_S + 10);
        assertEquals(0, reportedAttempts());
        assertEquals(List.of(), cluster.violations());
    }

    @Test
    void attemptsAreForgottenThoughTheResponseToTheLastWriteIsLost() {
        cluster.taskDurationS = 8;
        submit(cluster, 1, "array", TASKS);
        assertTrue(cluster.runUntil(60, () -> activeTaskCount(cluster, JOB) == TASKS));
        cluster.runFor(6);
        SimulatedCluster.ControllerProcess leader = cluster.leader();
        leader.stateLink = FakeStateService.Link.RESPONSES_LOST;
        assertTrue(cluster.runUntil(30, () -> cluster.stateService.value("f/" + JOB) != null));
        leader.stateLink = FakeStateService.Link.HEALTHY;
        assertTrue(cluster.runUntil(MAX_FORGET_DELAY_S, () -> reportedAttempts() == 0), "attempts are forgotten");
        assertEquals(leader, cluster.leader());
        assertEquals(List.of(), cluster.violations());
    }

    private int reportedAttempts() {
        return cluster.workers.values().stream()
                .mapToInt(worker -> worker.tasks.size())
                .sum();
    }

    private double readMetric(String metric) {
        return cluster.leader()
                .controller
                .metrics()
                .scrape()
                .lines()
                .filter(line -> line.startsWith(metric + " "))
                .mapToDouble(line -> Double.parseDouble(line.substring(metric.length() + 1)))
                .findFirst()
                .orElseThrow();
    }

    private static boolean hasEnded(DirectCommandNetwork.ExecutedCall call) {
        return call.worker().terminated
                || call.worker().tasks.values().stream()
                        .filter(task -> task.jobId.equals(JOB))
                        .allMatch(task -> task.state == AttemptState.EXITED);
    }
}
