package org.mountlug.core.zone;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.mountlug.Constants;
import org.mountlug.core.cluster.Cluster;
import org.mountlug.core.cluster.Machine;

/** Counts the machines of each zone by their silence: the one place where silence is looked at zone by zone. */
final class ZoneCensus {
    private final Cluster cluster;
    private final double leaseS;
    private final double reportS;

    ZoneCensus(Cluster cluster, double leaseS, double reportS) {
        this.cluster = cluster;
        this.leaseS = leaseS;
        this.reportS = reportS;
    }

    /** Machines by zone; zones without a machine that has come up are left out. */
    Map<String, ZoneCounts> count(double nowS) {
        Map<String, Tally> zones = new HashMap<>();
        for (Machine machine : cluster.machines.values()) {
            if (machine.cameUp() && !machine.unlisted && machine.zone != null) {
                zones.computeIfAbsent(machine.zone, zone -> new Tally()).add(machine, nowS);
            }
        }
        Map<String, ZoneCounts> counts = new HashMap<>();
        zones.forEach((zone, tally) -> counts.put(zone, tally.counts()));
        return counts;
    }

    /** Zones in which more machines are quiet than fail by themselves: there it is the network, or we. */
    Set<String> quiet(double nowS) {
        Set<String> quiet = new HashSet<>();
        count(nowS).forEach((zone, counts) -> {
            if (counts.manyQuiet(Constants.REPLICAS_SILENT_SHARE)) {
                quiet.add(zone);
            }
        });
        return quiet;
    }

    /** Zones most of whose machines are silent. */
    Set<String> mostlySilent(ZoneThresholds thresholds, double nowS) {
        Set<String> silent = new HashSet<>();
        count(nowS).forEach((zone, counts) -> {
            if (counts.mostSilent(thresholds)) {
                silent.add(zone);
            }
        });
        return silent;
    }

    /** The running counts of one zone. */
    private final class Tally {
        private int machines;
        private int reporting;
        private int heard;
        private int quiet;
        private int silent;

        void add(Machine machine, double nowS) {
            machines++;
            reporting += machine.up ? 1 : 0;
            double silentS = cluster.silentS(machine, nowS);
            if (silentS > leaseS) {
                silent++;
            } else if (machine.up && nowS - machine.heardS <= leaseS && cluster.heardInTerm(machine)) {
                heard++;
            }
            // Half the time already tells: what falls silent together does so within a report interval.
            if (machine.up && silentS > reportS * Constants.REPLICAS_SILENT_REPORTS / 2) {
                quiet++;
            }
        }

        ZoneCounts counts() {
            return new ZoneCounts(machines, reporting, heard, quiet, silent);
        }
    }
}
