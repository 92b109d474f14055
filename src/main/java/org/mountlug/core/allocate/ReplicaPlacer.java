package org.mountlug.core.allocate;

import java.util.HashMap;
import java.util.Map;
import org.mountlug.Constants;
import org.mountlug.core.cluster.Machine;
import org.mountlug.core.model.Job;
import org.mountlug.core.model.JobSpec;
import org.mountlug.core.model.Placement;
import org.mountlug.core.model.Resources;
import org.mountlug.core.model.Team;

/** Replicas of services, each where it runs soonest and beside as few of its like as may be. */
final class ReplicaPlacer {
    private final RoundState view;

    ReplicaPlacer(RoundState view) {
        this.view = view;
    }

    /**
     * Each replica for itself, as its user misses it for itself: where it runs soonest, and beside as few others of the
     * same service as may be, so that the loss of a machine is a small loss.
     */
    void place(Job j) {
        JobSpec spec = j.spec;
        Team team = view.cluster.team(spec.team());
        Resources used = view.usageByTeam.getOrDefault(spec.team(), Resources.ZERO);
        int budget = view.cluster.remainingRecordTasks(j);
        Map<String, Integer> perZone = new HashMap<>();
        Map<String, Integer> perMachine = new HashMap<>();
        String only = null;
        for (Placement p : j.placements.values()) {
            perZone.merge(p.zone, 1, Integer::sum);
            perMachine.merge(p.machine, 1, Integer::sum);
            if (spec.oneZone()) {
                only = p.zone;
            }
        }
        PlacementTransaction s = new PlacementTransaction(j);
        MachineView warm =
                j.placements.isEmpty() && spec.tasks() >= Constants.IMAGE_WARMUP_MIN_REPLICAS ? warming(j) : null;
        for (int t = 0; t < spec.tasks() && budget > 0; t++) {
            if (!j.needsPlacement(t, view.nowS)) {
                continue;
            }
            if (team != null && !team.isWithinLimit(used.plus(spec.request()))) {
                break;
            }
            MachineView best = null;
            if (warm != null
                    && t == spec.tasks() - 1
                    && (!spec.spreadAcrossZones()
                            || perZone.getOrDefault(warm.machine.zone, 0) < spec.maxTasksPerZone())) {
                best = warm;
            }
            double least = Double.MAX_VALUE;
            if (best == null) {
                for (MachineView n : view.machineViews.values()) {
                    Machine m = n.machine;
                    if (m.heldForGang != null || !spec.allows(m.type.name(), m.zone, m.spot)) {
                        continue;
                    }
                    if (only != null && !only.equals(m.zone)) {
                        continue;
                    }
                    if (spec.spreadAcrossZones() && perZone.getOrDefault(m.zone, 0) >= spec.maxTasksPerZone()) {
                        continue;
                    }
                    // Room on a cheap machine, made by stopping what ends anyway, is worth a moment.
                    if (view.replicaStartTimes.canWait(j)
                            && (spec.request().gpus() == 0 && m.type.capacity().gpus() > 0
                                    || view.replicaStartTimes.latenessS(j, m) > 0)) {
                        continue;
                    }
                    if (n.countReplicasFittingNow(spec.request()) < 1) {
                        continue;
                    }
                    double c =
                            replicaCost(j, t, n) + Constants.REPLICA_SPREAD_COST_S * perMachine.getOrDefault(m.name, 0);
                    if (c < least || c == least && m.name.compareTo(best.machine.name) < 0) {
                        least = c;
                        best = n;
                    }
                }
            }
            if (best == null) {
                break;
            }
            s.allocate(t, best);
            used = used.plus(spec.request());
            perZone.merge(best.machine.zone, 1, Integer::sum);
            perMachine.merge(best.machine.name, 1, Integer::sum);
            if (spec.oneZone()) {
                only = best.machine.zone;
            }
            budget--;
        }
        if (s.isReady(1)) {
            view.usageByTeam.put(spec.team(), used);
            view.commit(s);
        }
    }

    /**
     * Where every cheap machine would make an image's first replicas late, all of them would go to accelerator machines, and so
     * would those of the next service, as no cheap machine ever got the image. So one replica of many goes to the
     * cheapest place a replica that holds most of them, late as it is, until two such machines have the image.
     */
    private MachineView warming(Job j) {
        JobSpec s = j.spec;
        if (s.oneZone() || s.request().gpus() > 0) {
            return null;
        }
        MachineView best = null;
        int most = 0;
        int warm = 0;
        for (MachineView n : view.machineViews.values()) {
            Machine m = n.machine;
            if (m.type.capacity().gpus() > 0 || m.heldForGang != null || !s.allows(m.type.name(), m.zone, m.spot)) {
                continue;
            }
            int holds = s.request().countIn(m.type.capacity());
            if (view.replicaStartTimes.latenessS(j, m) <= 0 && !m.cachedImages.contains(s.image())) {
                return null; // cold ones are no trouble
            }
            if (view.replicaStartTimes.imageFetchS(j, m) < s.imageGb() / Math.max(0.01, m.type.fetchGbPerS())) {
                if (holds >= s.tasks()) {
                    warm++;
                }
            } else if (holds > most && n.countReplicasFittingNow(s.request()) > 0) {
                most = holds;
                best = n;
            }
        }
        return warm < Constants.IMAGE_WARMUP_MACHINES ? best : null;
    }

    /**
     * Lower is better. Seconds count little up to when the replica should run, and much from then on; what it costs to
     * keep an expensive machine for it lies between, as a replica stays for as long as its user orders.
     */
    private double replicaCost(Job j, int task, MachineView n) {
        Machine m = n.machine;
        double c = view.replicaStartTimes.imageFetchS(j, m) * Constants.FETCH_TIME_WEIGHT
                + view.replicaStartTimes.latenessS(j, m) * Constants.LATENESS_WEIGHT;
        boolean first = true;
        for (Placement p : m.placements.values()) {
            first &= !p.job.spec.isService();
        }
        // The first replica keeps the view.whole machine from being returned; those that join it cost nothing more.
        if (first) {
            c += Math.min(
                    Constants.MAX_KEPT_MACHINE_COST_S,
                    m.type.pricePerHour(m.spot) / view.lowestPricePerHour * Constants.KEPT_MACHINE_COST_S);
        }
        if (m.name.equals(j.avoidedMachineByTask.get(task))) {
            c += Constants.REPLICA_EXIT_PENALTY_S;
        }
        return c + 2 * (1 - n.utilization()) + 5 * m.failureCount();
    }
}
