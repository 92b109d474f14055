package org.mountlug.core.zone;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.mountlug.Constants;
import org.mountlug.core.cluster.Cluster;
import org.mountlug.core.cluster.Machine;
import org.mountlug.core.cluster.MachineListing;

/** Counts the reporting, late and silent machines of each zone. */
final class ZoneMachineCounter {
    private final Cluster cluster;
    private final double leaseS;
    private final double reportS;

    ZoneMachineCounter(Cluster cluster, double leaseS, double reportS) {
        this.cluster = cluster;
        this.leaseS = leaseS;
        this.reportS = reportS;
    }

    /** Returns the counts of each zone; zones without a machine that has come up are left out. */
    Map<String, ZoneCounts> count(double nowS) {
        Map<String, Tally> tallies = new HashMap<>();
        for (Machine machine : cluster.machines.values()) {
            if (machine.hasBooted() && machine.listing != MachineListing.GONE && machine.zone != null) {
                tallies.computeIfAbsent(machine.zone, zone -> new Tally()).add(machine, nowS);
            }
        }
        Map<String, ZoneCounts> counts = new HashMap<>();
        tallies.forEach((zone, tally) -> counts.put(zone, tally.counts()));
        return counts;
    }

    /**
     * Returns the zones in which more machines are late than would be by independent failures, so that the network or this
     * controller is the likely cause.
     */
    Set<String> lateZones(double nowS) {
        Set<String> late = new HashSet<>();
        count(nowS).forEach((zone, counts) -> {
            if (counts.hasManyLate(Constants.REPLICA_SILENCE_MAX_SHARE)) {
                late.add(zone);
            }
        });
        return late;
    }

    /** Returns the zones in which most machines are silent. */
    Set<String> mostlySilentZones(ZoneThresholds thresholds, double nowS) {
        Set<String> silent = new HashSet<>();
        count(nowS).forEach((zone, counts) -> {
            if (counts.isMostlySilent(thresholds)) {
                silent.add(zone);
            }
        });
        return silent;
    }

    /** The running counts of one zone. */
    private final class Tally {
        private int machines;
        private int everReported;
        private int reporting;
        private int late;
        private int silent;

        void add(Machine machine, double nowS) {
            machines++;
            everReported += machine.hasReported ? 1 : 0;
            double silentS = cluster.silentS(machine, nowS);
            if (silentS > leaseS) {
                silent++;
            } else if (machine.hasReported
                    && nowS - machine.lastReportS <= leaseS
                    && cluster.hasReportedSinceListening(machine)) {
                reporting++;
            }
            // Half of the silence after which a single machine is given up: machines that a common fault silences
            // all fall silent within one report interval.
            if (machine.hasReported && silentS > reportS * Constants.REPLICA_SILENCE_INTERVALS / 2) {
                late++;
            }
        }

        ZoneCounts counts() {
            return new ZoneCounts(machines, everReported, reporting, late, silent);
        }
    }
}
