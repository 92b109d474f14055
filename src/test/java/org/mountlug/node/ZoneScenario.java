package org.mountlug.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.mountlug.core.model.Team;
import org.mountlug.core.zone.ZoneCounts;
import org.mountlug.core.zone.ZoneSettings;
import org.mountlug.core.zone.ZoneState;
import org.mountlug.core.zone.ZoneStatus;
import org.mountlug.settings.OperatorSettings;

/** A simulated cluster in three zones, one of which can be cut off from everything and joined again. */
final class ZoneScenario {
    static final List<String> ZONES = List.of("a", "b", "c");
    /** Seconds in which a decided start takes effect: a write, a report and its answer. */
    static final double START_DELAY_S = 4;

    final SimulatedCluster cluster;
    /** State of zone a as the leader saw it, by the second. */
    final Map<Double, ZoneStatus> statusHistory = new TreeMap<>();

    ZoneScenario(int controllers, int machinesAZone, ZoneSettings settings) {
        this(controllers, machinesAZone, settings, false);
    }

    ZoneScenario(int controllers, int machinesAZone, ZoneSettings settings, boolean oldVersion) {
        cluster = new SimulatedCluster(
                controllers,
                List.of(new Team("t", 0, 0, 0, 0, 1)),
                10,
                oldVersion,
                8,
                8,
                OperatorSettings.defaults().withZones(settings));
        cluster.cloud.zones = new ArrayList<>(ZONES);
        cluster.cloud.capacity = 3 * machinesAZone;
        for (String zone : ZONES) {
            cluster.cloud.zoneCapacity.put(zone, machinesAZone);
            for (int i = 0; i < machinesAZone; i++) {
                cluster.addMachine(zone);
            }
        }
        note();
    }

    private void note() {
        statusHistory.put(cluster.nowS, status("a"));
        cluster.schedule(0.5, this::note);
    }

    /** Nothing in the zone hears or is heard outside it. */
    void isolate(String zone) {
        isolate(zone, 1);
    }

    /** The same for a part of the zone. */
    void isolate(String zone, double share) {
        List<SimulatedCluster.Worker> workers = workersIn(zone);
        for (int i = 0; i < workers.size() * share; i++) {
            workers.get(i).inIsolatedZone = true;
        }
    }

    void rejoin(String zone) {
        rejoin(zone, 1);
    }

    void rejoin(String zone, double share) {
        List<SimulatedCluster.Worker> workers = workersIn(zone);
        for (int i = 0; i < workers.size() * share; i++) {
            workers.get(i).inIsolatedZone = false;
        }
    }

    /** Cuts the zone off and waits until it is lost; false if it never is. */
    boolean isolateUntilLost(String zone) {
        isolate(zone);
        return runUntilState(20, zone, ZoneState.LOST);
    }

    /** Joins the zone again and waits until it returns; false if it never does. */
    boolean rejoinUntilReturning(String zone) {
        rejoin(zone);
        return runUntilState(30, zone, ZoneState.RETURNING);
    }

    List<SimulatedCluster.Worker> workersIn(String zone) {
        return cluster.workers.values().stream()
                .filter(worker -> worker.zone.equals(zone))
                .toList();
    }

    ZoneStatus status(String zone) {
        SimulatedCluster.ControllerProcess leader = cluster.leader();
        if (leader != null) {
            for (ZoneStatus status : leader.controller.zoneStatuses()) {
                if (status.zone().equals(zone)) {
                    return status;
                }
            }
        }
        return new ZoneStatus(zone, ZoneState.PRESENT, ZoneCounts.NONE, 0, 0);
    }

    ZoneState state(String zone) {
        return status(zone).state();
    }

    boolean runUntilState(double timeoutS, String zone, ZoneState state) {
        return cluster.runUntil(timeoutS, () -> state(zone) == state);
    }

    /** Submits an array of a class. */
    void submitArray(int number, String jobClass, String priority, int tasks) {
        submitArray(number, jobClass, priority, tasks, 1);
    }

    /** The same with tasks that take more of a machine. */
    void submitArray(int number, String jobClass, String priority, int tasks, double cpus) {
        cluster.submitUntilAccepted(
                FaultTestSteps.jobId(number),
                tasks,
                false,
                Map.of("lane", jobClass, "urgency", priority, "vcpus", cpus));
    }

    /** Tasks that machines of the zone hold now, by job. */
    Map<String, List<Integer>> activeTasksByJob(String zone) {
        Map<String, List<Integer>> held = new HashMap<>();
        for (SimulatedCluster.Worker worker : workersIn(zone)) {
            for (SimulatedCluster.Task task : worker.activeTasks()) {
                held.computeIfAbsent(task.jobId, job -> new ArrayList<>()).add(task.index);
            }
        }
        return held;
    }

    /** Starts in a zone in this span of time. */
    long countStarts(String zone, double from, double to) {
        return cluster.startLog.stream()
                .filter(start -> start.zone().equals(zone) && start.atS() >= from && start.atS() < to)
                .count();
    }

    /** When a task was first started after this time, or never. */
    double firstStartAfterS(String job, int index, double from) {
        return cluster.startLog.stream()
                .filter(start -> start.jobId().equals(job) && start.taskIndex() == index && start.atS() > from)
                .mapToDouble(SimulatedCluster.TaskStart::atS)
                .findFirst()
                .orElse(Double.POSITIVE_INFINITY);
    }
}
