package org.mountlug.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mountlug.core.cluster.EventSummary;

/** What an operator on call can tell from the log and the meters. */
class ObservabilityTest {
    private static String id(int number) {
        return String.format("wk-%06d", number);
    }

    /** Hundreds of tasks that fall together are one line, with their number. */
    @Test
    void eventsOfAKindAreOneLine() {
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

    /** One state, one change, one line: not one for each request that was refused. */
    @Test
    void anOverloadIsNotedOnceAndEndsOnce() {
        OverloadLog log = new OverloadLog();
        log.observe(0, 1);
        assertFalse(log.isOverloaded());
        for (int t = 2; t < 30; t++) {
            log.observe(t * 50, t);
            assertTrue(log.isOverloaded());
        }
        log.observe(29 * 50, 35);
        assertTrue(log.isOverloaded());
        log.observe(29 * 50, 60);
        assertFalse(log.isOverloaded());
    }

    /** Each trouble shows in a meter of its own, so that one can be told from another. */
    @ParameterizedTest(name = "{0}")
    @CsvSource({
        "failing job, mountlug_jobs_suspected",
        "failing job, mountlug_term_tasks_failed",
        "faulty machine, mountlug_machines_quarantined",
        "machines cut off, mountlug_machines_silent",
        "machines that never boot, mountlug_machines_booting",
        "no capacity, mountlug_rentals_refused_total",
        "standstill, mountlug_standstills_total",
        "outage beside a silent peer, mountlug_reports_unanswered_total",
    })
    void eachTroubleShowsInItsMeter(String trouble, String meter) {
        SimulatedCluster world = new SimulatedCluster(3);
        world.taskDurationS = 15;
        world.cloud.capacity = 8;
        world.submitUntilAccepted(id(1), 400, false);
        assertTrue(world.runUntil(60, () -> world.workers.size() == 8 && world.isRunning(id(1))));
        world.runFor(6);
        SimulatedCluster.ControllerProcess leader = world.leader();
        double quiet = value(leader, meter);
        switch (trouble) {
            case "failing job" -> {
                world.failingJobs.add(id(2));
                world.submitUntilAccepted(id(2), 24, false, java.util.Map.of("urgency", "prod"));
            }
            case "faulty machine" -> world.workers.values().iterator().next().failsAllTasks = true;
            case "machines cut off" -> world.workers.values().forEach(worker -> worker.disconnected = true);
            case "machines that never boot" -> {
                world.cloud.capacity = 30;
                world.machineBootS = 1000;
                world.submitUntilAccepted(id(2), 80, false);
            }
            case "no capacity" -> world.submitUntilAccepted(id(2), 400, false);
            case "standstill" -> leader.pause(3);
            default -> {
                world.stateService.outage = true;
                leader.cutFromPeers = true;
            }
        }
        assertTrue(world.runUntil(40, () -> value(leader, meter) > quiet), "from " + quiet);
    }

    private static double value(SimulatedCluster.ControllerProcess node, String meter) {
        for (String line : node.controller.metrics().scrape().split("\n")) {
            if (line.startsWith(meter + " ")) {
                return Double.parseDouble(line.substring(meter.length() + 1));
            }
        }
        throw new AssertionError("no meter " + meter);
    }
}
