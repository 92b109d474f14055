package org.mountlug.core.scale;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.mountlug.Constants;
import org.mountlug.core.cluster.Cluster;
import org.mountlug.core.cluster.Machine;

/** Zones whose machines have fallen silent together, which is more likely the network's doing than theirs. */
final class ZoneSilence {
    private final Cluster cluster;
    private final double leaseS;
    private final double reportS;

    ZoneSilence(Cluster cluster, double leaseS, double reportS) {
        this.cluster = cluster;
        this.leaseS = leaseS;
        this.reportS = reportS;
    }

    /** Zones most of whose machines are silent: more likely cut off than dead, and no place for new ones. */
    Set<String> silentZones(double nowS) {
        Map<String, int[]> zones = new HashMap<>();
        for (Machine m : cluster.machines.values()) {
            if (!m.cameUp() || m.unlisted || m.zone == null) {
                continue;
            }
            int[] n = zones.computeIfAbsent(m.zone, z -> new int[2]);
            n[0]++;
            if (cluster.silentS(m, nowS) > leaseS) {
                n[1]++;
            }
        }
        Set<String> out = new HashSet<>();
        zones.forEach((z, n) -> {
            if (n[0] > 2 && n[1] * 2 > n[0]) {
                out.add(z);
            }
        });
        return out;
    }

    /** Zones in which more machines are quiet than fail by themselves: there it is the network, or we. */
    Set<String> quietZones(double nowS) {
        Map<String, int[]> zones = new HashMap<>();
        for (Machine m : cluster.machines.values()) {
            if (!m.up || m.unlisted || m.zone == null) {
                continue;
            }
            int[] n = zones.computeIfAbsent(m.zone, z -> new int[2]);
            n[0]++;
            // Half the time already tells: what falls silent together does so within a report interval.
            if (cluster.silentS(m, nowS) > reportS * Constants.REPLICAS_SILENT_REPORTS / 2) {
                n[1]++;
            }
        }
        Set<String> out = new HashSet<>();
        zones.forEach((z, n) -> {
            if (n[1] > Math.max(2, n[0] * Constants.REPLICAS_SILENT_SHARE)) {
                out.add(z);
            }
        });
        return out;
    }
}
