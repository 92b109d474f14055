package org.mountlug.node;

import java.util.Collection;
import org.mountlug.core.model.Team;

/** What must hold at any time in a {@link SimulatedCluster}, on machines that send no reports as well. */
final class ClusterInvariants {
    private static final double CPU_TOLERANCE = 1e-6;

    private final SimulatedCluster cluster;
    private final Collection<Team> teams;

    ClusterInvariants(SimulatedCluster cluster, Collection<Team> teams) {
        this.cluster = cluster;
        this.teams = teams;
    }

    /** Records a violation for each breach; to be called about ten times a second. */
    void check() {
        for (SimulatedWorker worker : cluster.workers.values()) {
            checkCancelledTasks(worker);
        }
        for (SimulatedCluster.ControllerProcess process : cluster.controllers) {
            if (process.up) {
                checkMachinesGoneByList(process);
            }
        }
        for (Team team : teams) {
            if (team.maxCpus() > 0) {
                checkCpuLimit(team);
            }
        }
    }

    private void checkCancelledTasks(SimulatedWorker worker) {
        for (SimulatedTask task : worker.activeTasks()) {
            Double cancelledAtS = cluster.cancelAcknowledgedAtS.get(task.jobId);
            if (cancelledAtS != null && cluster.nowS > cancelledAtS + SimulatedCluster.CANCEL_DEADLINE_S) {
                cluster.recordViolation("ran after its cancellation: " + task.jobId + "/" + task.index + " on "
                        + worker.name + " " + Math.round(cluster.nowS - cancelledAtS) + " s after");
                cluster.cancelAcknowledgedAtS.put(task.jobId, Double.POSITIVE_INFINITY); // recorded once
            }
        }
    }

    /** Checks that no living machine counts as gone, also while it is cut off, hangs, boots or is not listed yet. */
    private void checkMachinesGoneByList(SimulatedCluster.ControllerProcess process) {
        for (String name : process.controller.machinesGoneByList()) {
            SimulatedWorker worker = cluster.workers.get(name);
            if (worker != null && !worker.terminated) {
                cluster.recordViolation("a living machine counts as gone: " + name);
            }
        }
    }

    private void checkCpuLimit(Team team) {
        double usedCpus = cluster.usedCpus(team.name());
        cluster.peakTeamLimitShare = Math.max(cluster.peakTeamLimitShare, usedCpus / team.maxCpus());
        if (usedCpus > team.maxCpus() + CPU_TOLERANCE) {
            cluster.recordViolation("CPU limit exceeded: " + team.name() + " uses " + usedCpus);
        }
    }
}
