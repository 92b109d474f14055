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

/** A simulated cluster in three zones, which can be isolated and rejoined. */
final class ZoneScenario {
    static final List<String> ZONES = List.of("a", "b", "c");
    /** Most seconds from the decision to start a task to its start: a write, a report and its response. */
    static final double START_DELAY_S = 4;

    final SimulatedCluster cluster;
    /** Status of zone a in the leader's view, by simulated time, sampled twice a second. */
    final Map<Double, ZoneStatus> statusHistory = new TreeMap<>();

    ZoneScenario(int controllers, int machinesPerZone, ZoneSettings settings) {
        this(controllers, machinesPerZone, settings, false);
    }

    ZoneScenario(int controllers, int machinesPerZone, ZoneSettings settings, boolean runsProductionVersion) {
        this(controllers, machinesPerZone, OperatorSettings.defaults().withZones(settings), runsProductionVersion);
    }

    ZoneScenario(int controllers, int machinesPerZone, OperatorSettings operators, boolean runsProductionVersion) {
        cluster = new SimulatedCluster(
                controllers, List.of(new Team("t", 0, 0, 0, 0, 1)), 10, runsProductionVersion, 8, 8, operators);
        cluster.cloud.zones = new ArrayList<>(ZONES);
        cluster.cloud.capacity = 3 * machinesPerZone;
        for (String zone : ZONES) {
            cluster.cloud.zoneCapacity.put(zone, machinesPerZone);
            for (int i = 0; i < machinesPerZone; i++) {
                cluster.addMachine(zone);
            }
        }
        recordStatus();
    }

    private void recordStatus() {
        statusHistory.put(cluster.nowS, status("a"));
        cluster.schedule(0.5, this::recordStatus);
    }

    /** Cuts all machines of the zone off from controllers outside it. */
    void isolate(String zone) {
        isolate(zone, 1);
    }

    /** Cuts the first machines of the zone, {@code share} (0 to 1) of them, off from controllers outside it. */
    void isolate(String zone, double share) {
        List<SimulatedWorker> workers = workersIn(zone);
        for (int i = 0; i < workers.size() * share; i++) {
            workers.get(i).inIsolatedZone = true;
        }
    }

    /** Ends the isolation of all machines of the zone. */
    void rejoin(String zone) {
        rejoin(zone, 1);
    }

    /** Ends the isolation of the first machines of the zone, {@code share} (0 to 1) of them. */
    void rejoin(String zone, double share) {
        List<SimulatedWorker> workers = workersIn(zone);
        for (int i = 0; i < workers.size() * share; i++) {
            workers.get(i).inIsolatedZone = false;
        }
    }

    /** Isolates the zone and runs until it is lost; returns false if it is not within 20 s. */
    boolean isolateUntilLost(String zone) {
        isolate(zone);
        return runUntilState(20, zone, ZoneState.LOST);
    }

    /** Ends the zone's isolation and runs until it is returning; returns false if it is not within 30 s. */
    boolean rejoinUntilReturning(String zone) {
        rejoin(zone);
        return runUntilState(30, zone, ZoneState.RETURNING);
    }

    List<SimulatedWorker> workersIn(String zone) {
        return cluster.workers.values().stream()
                .filter(worker -> worker.zone.equals(zone))
                .toList();
    }

    /** Returns the zone's status in the leader's view; without a leader or a status, one that is present with zero counts. */
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

    /** Submits an array of one-CPU tasks until it is accepted. */
    void submitArray(int number, String jobClass, String priority, int tasks) {
        submitArray(number, jobClass, priority, tasks, 1);
    }

    /** Submits an array until it is accepted; each task requests {@code cpus} CPUs. */
    void submitArray(int number, String jobClass, String priority, int tasks, double cpus) {
        cluster.submitUntilAccepted(
                FaultTestSteps.jobId(number),
                tasks,
                false,
                Map.of("lane", jobClass, "urgency", priority, "vcpus", cpus));
    }

    /** Returns the indexes of the active tasks on machines of the zone, by job. */
    Map<String, List<Integer>> activeTasksByJob(String zone) {
        Map<String, List<Integer>> taskIndexes = new HashMap<>();
        for (SimulatedWorker worker : workersIn(zone)) {
            for (SimulatedTask task : worker.activeTasks()) {
                taskIndexes
                        .computeIfAbsent(task.jobId, job -> new ArrayList<>())
                        .add(task.index);
            }
        }
        return taskIndexes;
    }

    /** Returns the number of task starts in the zone from {@code fromS} on and before {@code untilS}. */
    long countStarts(String zone, double fromS, double untilS) {
        return cluster.startLog.stream()
                .filter(start -> start.zone().equals(zone) && start.atS() >= fromS && start.atS() < untilS)
                .count();
    }

    /** Returns the time of the task's first start after {@code afterS}; positive infinity if there is none. */
    double firstStartAfterS(String job, int index, double afterS) {
        return cluster.startLog.stream()
                .filter(start -> start.jobId().equals(job) && start.taskIndex() == index && start.atS() > afterS)
                .mapToDouble(SimulatedCluster.TaskStart::atS)
                .findFirst()
                .orElse(Double.POSITIVE_INFINITY);
    }
}
