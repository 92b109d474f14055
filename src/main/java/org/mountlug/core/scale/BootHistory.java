package org.mountlug.core.scale;

import java.util.HashMap;
import java.util.Map;
import org.mountlug.Constants;
import org.mountlug.core.cluster.Cluster;
import org.mountlug.core.cluster.Machine;

/**
 * Boot times and boot failures of recently rented machines by capacity pool: how long they took compared with the nominal
 * boot time, how many never came up, and how many are overdue now. Older observations decay, so that a pool that failed is
 * tried again after some time.
 */
final class BootHistory {
    /** Sums over the past rentals of a pool, each weighted by its age. */
    private static final class BootStatistics {
        double completedBoots;
        double bootRatioSum;
        double lostMachines;
        double updatedAtS;

        void decayTo(double nowS) {
            double factor = Math.pow(0.5, Math.max(0, nowS - updatedAtS) / Constants.BOOT_HALF_LIFE_S);
            completedBoots *= factor;
            bootRatioSum *= factor;
            lostMachines *= factor;
            updatedAtS = nowS;
        }
    }

    private final Cluster cluster;
    private final Map<CapacityPool, BootStatistics> statisticsByPool = new HashMap<>();
    /**
     * By pool, how many machines rented by this leader are still booting, and how many of these are overdue. Machines
     * rented by an earlier leader are left out, because only the late ones among them are still booting.
     */
    private final Map<CapacityPool, int[]> bootingCounts = new HashMap<>();
    /** By pool, the monotonic time in seconds until which no more of its machines are rented. */
    private final Map<CapacityPool, Double> avoidedUntilS = new HashMap<>();

    BootHistory(Cluster cluster) {
        this.cluster = cluster;
    }

    /** Updates the statistics from the state of all machines; called before each rental decision. */
    void observe(double nowS) {
        bootingCounts.clear();
        for (Machine machine : cluster.machines.values()) {
            if (machine.type == null || machine.zone == null) {
                continue;
            }
            CapacityPool pool = CapacityPool.of(machine);
            if (machine.takeBootCompleted()) {
                recordBoot(pool, machine, nowS);
            } else if (machine.isAwaitingBoot() && !machine.hasBooted() && !machine.beingReturned) {
                int[] counts = bootingCounts.computeIfAbsent(pool, k -> new int[2]);
                counts[0]++;
                counts[1] += isOverdue(machine, nowS) ? 1 : 0;
            }
        }
        bootingCounts.forEach((pool, counts) -> avoidIfOverdue(pool, counts, nowS));
    }

    private void recordBoot(CapacityPool pool, Machine machine, double nowS) {
        BootStatistics statistics = statisticsOf(pool, nowS);
        statistics.completedBoots++;
        statistics.bootRatioSum +=
                Math.min(Constants.MAX_BOOT_RATIO, machine.bootDurationS() / Math.max(1, machine.type.bootS()));
    }

    private void avoidIfOverdue(CapacityPool pool, int[] counts, double nowS) {
        double completedBoots = statisticsOf(pool, nowS).completedBoots;
        if (counts[1] < Constants.MIN_OVERDUE_MACHINES || counts[1] < completedBoots || counts[1] * 2 < counts[0]) {
            return;
        }
        Double previousUntilS = avoidedUntilS.put(pool, nowS + Constants.OVERDUE_POOL_PAUSE_S);
        if (previousUntilS == null || previousUntilS < nowS) {
            cluster.addEvent("machines overdue, pausing further rentals from their capacity pool", pool.toString());
        }
    }

    /** Records that a machine was given up because it never came up. */
    void recordLost(Machine machine, double nowS) {
        statisticsOf(CapacityPool.of(machine), nowS).lostMachines++;
    }

    private BootStatistics statisticsOf(CapacityPool pool, double nowS) {
        BootStatistics statistics = statisticsByPool.computeIfAbsent(pool, k -> new BootStatistics());
        statistics.decayTo(nowS);
        return statistics;
    }

    /** Whether a machine has taken so much longer than is usual for its pool that it may never come up. */
    boolean isOverdue(Machine machine, double nowS) {
        return nowS - machine.rentedS > Constants.BOOT_OVERDUE_FACTOR * expectedBootS(machine, nowS);
    }

    /** Returns the seconds since its rental after which a machine that has not come up is given up. */
    double giveUpAfterS(Machine machine, double nowS) {
        return expectedBootS(machine, nowS) * Constants.BOOT_TIMEOUT_FACTOR + Constants.BOOT_TIMEOUT_MARGIN_S;
    }

    /** Returns the seconds that a machine of this pool is expected to take from its rental until it is up. */
    double expectedBootS(Machine machine, double nowS) {
        return machine.type.bootS() * bootTimeFactor(CapacityPool.of(machine), nowS);
    }

    /** Returns the ratio of recent boot times to the nominal boot time of a pool, at least 1. */
    double bootTimeFactor(CapacityPool pool, double nowS) {
        BootStatistics statistics = statisticsOf(pool, nowS);
        double priorSamples = Constants.BOOT_PRIOR_SAMPLES;
        return Math.max(1, (priorSamples + statistics.bootRatioSum) / (priorSamples + statistics.completedBoots));
    }

    /** Returns the share of rented machines of a pool that never come up. */
    double lossRate(CapacityPool pool, double nowS) {
        BootStatistics statistics = statisticsOf(pool, nowS);
        return (Constants.BOOT_PRIOR_SAMPLES * Constants.BOOT_LOSS_PRIOR + statistics.lostMachines)
                / (Constants.BOOT_PRIOR_SAMPLES + statistics.lostMachines + statistics.completedBoots);
    }

    /** Whether no more machines of a pool should be rented for now, because most of those rented are overdue. */
    boolean isAvoided(CapacityPool pool, double nowS) {
        return avoidedUntilS.getOrDefault(pool, Double.NEGATIVE_INFINITY) > nowS;
    }
}
