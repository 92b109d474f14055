package org.mountlug.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mountlug.core.cluster.EventSummary;

/** The log and the metrics show an operator which fault is present. */
class ObservabilityTest {
    private static String jobId(int number) {
        return String.format("wk-%06d", number);
    }

    /** Equal events of many tasks make one log line with their number; otherwise one fault could flood the log. */
    @Test
    void equalEventsAreSummarizedInOneLine() {
        EventSummary events = new EventSummary();
        for (int i = 0; i < 173; i++) {
            events.add("lost of wk-000001, exited ERROR", "wk-000001/" + i);
        }
        events.add("returning, idle", "n-1");
        assertEquals(
                List.of(
                        "lost of wk-000001, exited ERROR: 173, wk-000001/0, wk-000001/1, wk-000001/2 and others",
                        "returning, idle: n-1"),
                events.lines());
        assertEquals(174, events.detailLines().size());
    }

    /** The overload lasts until no request has been refused for a while, so that the log has no line for each refusal. */
    @Test
    void anOverloadBeginsAndEndsOnce() {
        OverloadLog log = new OverloadLog();
        log.observe(0, 1);
        assertFalse(log.isOverloaded());
        for (int timeS = 2; timeS < 30; timeS++) {
            log.observe(timeS * 50, timeS);
            assertTrue(log.isOverloaded());
        }
        log.observe(29 * 50, 35);
        assertTrue(log.isOverloaded());
        log.observe(29 * 50, 60);
        assertFalse(log.isOverloaded());
    }

    /** Each kind of fault raises its own metric, so that operators can tell faults apart. */
    @ParameterizedTest(name = "{0}")
    @CsvSource({
        "failing job, mountlug_jobs_suspected",
        "failing job, mountlug_term_tasks_failed",
        "faulty machine, mountlug_machines_quarantined",
        "machines cut off, mountlug_machines_silent",
        "machines that never boot, mountlug_machines_booting",
        "no capacity, mountlug_rentals_refused_total",
        "process pause, mountlug_standstills_total",
        "outage beside a silent peer, mountlug_reports_unanswered_total",
        "short tasks, mountlug_machines_token_raised",
    })
    void eachFaultShowsInItsMetric(String fault, String metric) {
        SimulatedCluster cluster = new SimulatedCluster(3);
        cluster.taskDurationS = 15;
        cluster.cloud.capacity = 8;
        cluster.submitUntilAccepted(jobId(1), 400, false);
        assertTrue(cluster.runUntil(60, () -> cluster.workers.size() == 8 && cluster.isRunning(jobId(1))));
        cluster.runFor(6);
        SimulatedCluster.ControllerProcess leader = cluster.leader();
        double valueBefore = readMetric(leader, metric);
        switch (fault) {
            case "failing job" -> {
                cluster.failingJobs.add(jobId(2));
                cluster.submitUntilAccepted(jobId(2), 24, false, java.util.Map.of("urgency", "prod"));
            }
            case "faulty machine" -> cluster.workers.values().iterator().next().failsAllTasks = true;
            case "machines cut off" -> cluster.workers.values().forEach(worker -> worker.disconnected = true);
            case "machines that never boot" -> {
                cluster.cloud.capacity = 30;
                cluster.machineBootS = 1000;
                cluster.submitUntilAccepted(jobId(2), 80, false);
            }
            case "no capacity" -> cluster.submitUntilAccepted(jobId(2), 400, false);
            case "process pause" -> leader.pause(3);
            case "short tasks" -> cluster.taskDurationS = 1;
            default -> {
                cluster.stateService.outage = true;
                leader.cutFromPeers = true;
            }
        }
        assertTrue(
                cluster.runUntil(40, () -> readMetric(leader, metric) > valueBefore),
                "the metric did not rise above " + valueBefore);
    }

    /** What becomes of a direct start tells apart one that never takes effect and one that may take effect late. */
    @ParameterizedTest(name = "{0}")
    @CsvSource({
        "worker in a new session, mountlug_starts_direct_refused_total",
        "slow command, mountlug_starts_direct_unanswered_total",
        "nothing, mountlug_starts_direct_total"
    })
    void directStartShowsInTheMetricOfItsOutcome(String fault, String metric) {
        SimulatedCluster cluster = new SimulatedCluster(3);
        cluster.taskDurationS = 60;
        cluster.submitUntilAccepted(jobId(1), 2, false);
        assertTrue(FaultTestSteps.runUntilStarted(cluster, 2));
        cluster.runFor(5);
        double valueBefore = readMetric(cluster.leader(), metric);
        cluster.commandNetwork.delayS = fault.equals("slow command") ? 5 : 0;
        cluster.stateService.onTransaction = (from, body) -> {
            if (from == cluster.leader() && fault.equals("worker in a new session")) {
                cluster.workers.values().forEach(worker -> worker.session++);
                cluster.stateService.onTransaction = null;
            }
        };
        cluster.submitUntilAccepted(jobId(2), 2, false);
        assertTrue(cluster.runUntil(10, () -> readMetric(cluster.leader(), metric) > valueBefore));
    }

    /** Machines that a new leader knows from the job records alone count as silent, or nothing would show that they are. */
    @Test
    void machinesThatNeverReportedToANewLeaderCountAsSilent() {
        SimulatedCluster cluster = new SimulatedCluster(3);
        cluster.taskDurationS = 100;
        cluster.submitUntilAccepted(jobId(1), 24, false);
        assertTrue(FaultTestSteps.runUntilStarted(cluster, 24));
        List<SimulatedWorker> taken = List.copyOf(cluster.workers.values());
        taken.forEach(cluster.cloud::take);
        cluster.cloud.down = true;
        cluster.controllers.forEach(process -> process.restartAfter(2));
        cluster.runFor(20);
        assertEquals(taken.size(), readMetric(cluster.leader(), "mountlug_machines_silent"));
        assertEquals(0, readMetric(cluster.leader(), "mountlug_machines_booting"));
    }

    private static double readMetric(SimulatedCluster.ControllerProcess controller, String metric) {
        for (String line : controller.controller.metrics().scrape().split("\n")) {
            if (line.startsWith(metric + " ")) {
                return Double.parseDouble(line.substring(metric.length() + 1));
            }
        }
        throw new AssertionError("missing metric: " + metric);
    }
}
