package org.mountlug.core.scale;

import java.util.HashMap;
import java.util.Map;
import org.mountlug.Constants;
import org.mountlug.core.cluster.Cluster;
import org.mountlug.core.cluster.Machine;

/**
 * How ordered machines have come up lately, by kind: how long they took against the nominal boot time, how many never
 * came, and how many are overdue now. What lies back counts less and less, so that a kind is tried again after a time.
 */
final class BootHistory {
    /** Sums over past orders, each weighted by its age. */
    private static final class Past {
        double boots;
        double ratios;
        double lost;
        double atS;

        void ageTo(double nowS) {
            double factor = Math.pow(0.5, Math.max(0, nowS - atS) / Constants.BOOT_HALF_LIFE_S);
            boots *= factor;
            ratios *= factor;
            lost *= factor;
            atS = nowS;
        }
    }

    private final Cluster cluster;
    private final Map<CapacityPool, Past> past = new HashMap<>();
    /**
     * By kind, how many machines this leader has ordered that are not up, and how many of them are overdue. An earlier
     * leader's orders are left out, as of those only the late ones are still to be seen.
     */
    private final Map<CapacityPool, int[]> waiting = new HashMap<>();
    /** By kind, steady seconds until which nothing more of it is ordered. */
    private final Map<CapacityPool, Double> avoidedUntilS = new HashMap<>();

    BootHistory(Cluster cluster) {
        this.cluster = cluster;
    }

    /** Looks at all machines; to be called before each decision to rent. */
    void observe(double nowS) {
        waiting.clear();
        for (Machine machine : cluster.machines.values()) {
            if (machine.type == null || machine.zone == null) {
                continue;
            }
            CapacityPool kind = CapacityPool.of(machine);
            if (machine.takeBootCompleted()) {
                record(kind, machine, nowS);
            } else if (machine.awaitingBoot() && !machine.hasBooted() && !machine.beingReturned) {
                int[] counts = waiting.computeIfAbsent(kind, k -> new int[2]);
                counts[0]++;
                counts[1] += isOverdue(machine, nowS) ? 1 : 0;
            }
        }
        waiting.forEach((kind, counts) -> avoidIfOverdue(kind, counts, nowS));
    }

    private void record(CapacityPool kind, Machine machine, double nowS) {
        Past p = past(kind, nowS);
        p.boots++;
        p.ratios += Math.min(Constants.MAX_BOOT_RATIO, machine.bootDurationS() / Math.max(1, machine.type.bootS()));
    }

    private void avoidIfOverdue(CapacityPool kind, int[] counts, double nowS) {
        double cameUp = past(kind, nowS).boots;
        if (counts[1] < Constants.MIN_OVERDUE_MACHINES || counts[1] < cameUp || counts[1] * 2 < counts[0]) {
            return;
        }
        Double before = avoidedUntilS.put(kind, nowS + Constants.OVERDUE_POOL_PAUSE_S);
        if (before == null || before < nowS) {
            cluster.addEvent("machines overdue, nothing more of their kind is ordered for now", kind.toString());
        }
    }

    /** A machine was given up that never came up. */
    void recordLost(Machine machine, double nowS) {
        past(CapacityPool.of(machine), nowS).lost++;
    }

    private Past past(CapacityPool kind, double nowS) {
        Past p = past.computeIfAbsent(kind, k -> new Past());
        p.ageTo(nowS);
        return p;
    }

    /** Whether a machine has taken so much longer than its kind usually does that it may never come up. */
    boolean isOverdue(Machine machine, double nowS) {
        return nowS - machine.rentedS > Constants.BOOT_OVERDUE_FACTOR * expectedBootS(machine, nowS);
    }

    /** Seconds after which a machine that has not come up is given up. */
    double giveUpAfterS(Machine machine, double nowS) {
        return expectedBootS(machine, nowS) * Constants.BOOT_TIMEOUT_FACTOR + Constants.BOOT_TIMEOUT_MARGIN_S;
    }

    /** Seconds from the order in which a machine of its kind should be up. */
    double expectedBootS(Machine machine, double nowS) {
        return machine.type.bootS() * bootTimeFactor(CapacityPool.of(machine), nowS);
    }

    /** How many times its nominal boot time a kind takes, by what came up lately; 1 at the least. */
    double bootTimeFactor(CapacityPool kind, double nowS) {
        Past p = past(kind, nowS);
        double prior = Constants.BOOT_PRIOR_SAMPLES;
        return Math.max(1, (prior + p.ratios) / (prior + p.boots));
    }

    /** The share of orders of a kind that never come up. */
    double lossRate(CapacityPool kind, double nowS) {
        Past p = past(kind, nowS);
        return (Constants.BOOT_PRIOR_SAMPLES * Constants.BOOT_LOSS_PRIOR + p.lost)
                / (Constants.BOOT_PRIOR_SAMPLES + p.lost + p.boots);
    }

    /** Whether nothing more of a kind should be ordered for now, as most of what was ordered is overdue. */
    boolean isAvoided(CapacityPool kind, double nowS) {
        return avoidedUntilS.getOrDefault(kind, Double.NEGATIVE_INFINITY) > nowS;
    }
}
