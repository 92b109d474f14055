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
import org.mountlug.settings.Operators;

/** A simulated cluster in three zones, one of which can be cut off from everything and joined again. */
final class ZoneScenario {
    static final List<String> ZONES = List.of("a", "b", "c");
    /** Seconds in which a decided start takes effect: a write, a report and its answer. */
    static final double START_DELAY_S = 4;

    final SimulatedCluster cluster;
    /** State of zone a as the leader saw it, by the second. */
    final Map<Double, ZoneStatus> history = new TreeMap<>();

    ZoneScenario(int controllers, int machinesAZone, ZoneSettings settings) {
        this(controllers, machinesAZone, settings, false);
    }

    ZoneScenario(int controllers, int machinesAZone, ZoneSettings settings, boolean old) {
        cluster = new SimulatedCluster(
                controllers,
                List.of(new Team("t", 0, 0, 0, 0, 1)),
                10,
                old,
                8,
                8,
                Operators.defaults().with(settings));
        cluster.cloud.zones = new ArrayList<>(ZONES);
        cluster.cloud.capacity = 3 * machinesAZone;
        for (String zone : ZONES) {
            cluster.cloud.zoneCapacity.put(zone, machinesAZone);
            for (int i = 0; i < machinesAZone; i++) {
                cluster.worker(zone);
            }
        }
        note();
    }

    private void note() {
        history.put(cluster.now, status("a"));
        cluster.in(0.5, this::note);
    }

    /** Nothing in the zone hears or is heard outside it. */
    void cut(String zone) {
        cut(zone, 1);
    }

    /** The same for a part of the zone. */
    void cut(String zone, double share) {
        List<SimulatedCluster.Worker> workers = in(zone);
        for (int i = 0; i < workers.size() * share; i++) {
            workers.get(i).inside = true;
        }
    }

    void rejoin(String zone) {
        rejoin(zone, 1);
    }

    void rejoin(String zone, double share) {
        List<SimulatedCluster.Worker> workers = in(zone);
        for (int i = 0; i < workers.size() * share; i++) {
            workers.get(i).inside = false;
        }
    }

    /** Cuts the zone off and waits until it is lost; false if it never is. */
    boolean lose(String zone) {
        cut(zone);
        return until(20, zone, ZoneState.LOST);
    }

    /** Joins the zone again and waits until it returns; false if it never does. */
    boolean returns(String zone) {
        rejoin(zone);
        return until(30, zone, ZoneState.RETURNING);
    }

    List<SimulatedCluster.Worker> in(String zone) {
        return cluster.workers.values().stream()
                .filter(worker -> worker.zone.equals(zone))
                .toList();
    }

    ZoneStatus status(String zone) {
        SimulatedCluster.Node leader = cluster.leader();
        if (leader != null) {
            for (ZoneStatus status : leader.controller.zones()) {
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

    boolean until(double mostS, String zone, ZoneState state) {
        return cluster.until(mostS, () -> state(zone) == state);
    }

    /** Submits an array of a class. */
    void array(int number, String lane, String urgency, int tasks) {
        array(number, lane, urgency, tasks, 1);
    }

    /** The same with tasks that take more of a machine. */
    void array(int number, String lane, String urgency, int tasks, double cpus) {
        cluster.accept(FaultScenario.id(number), tasks, false, Map.of("lane", lane, "urgency", urgency, "vcpus", cpus));
    }

    /** Tasks that machines of the zone hold now, by job. */
    Map<String, List<Integer>> held(String zone) {
        Map<String, List<Integer>> held = new HashMap<>();
        for (SimulatedCluster.Worker worker : in(zone)) {
            for (SimulatedCluster.Task task : worker.held()) {
                held.computeIfAbsent(task.job, job -> new ArrayList<>()).add(task.index);
            }
        }
        return held;
    }

    /** Starts in a zone in this span of time. */
    long starts(String zone, double from, double to) {
        return cluster.startLog.stream()
                .filter(start -> start.zone().equals(zone) && start.at() >= from && start.at() < to)
                .count();
    }

    /** When a task was first started after this time, or never. */
    double startedAfter(String job, int index, double from) {
        return cluster.startLog.stream()
                .filter(start -> start.job().equals(job) && start.index() == index && start.at() > from)
                .mapToDouble(SimulatedCluster.Start::at)
                .findFirst()
                .orElse(Double.POSITIVE_INFINITY);
    }
}
