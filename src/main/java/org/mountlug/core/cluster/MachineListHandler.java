package org.mountlug.core.cluster;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.mountlug.Constants;
import org.mountlug.core.scale.ListedMachine;

/** Applies the cloud's machine list: which machines exist, which have come up, which have failed and which are gone. */
final class MachineListHandler {
    private final Cluster cluster;

    MachineListHandler(Cluster cluster) {
        this.cluster = cluster;
    }

    /**
     * Adds the listed machines that are not known, removes failed ones with their attempts, and marks those that the list no
     * longer shows.
     *
     * @param listLagS seconds by which the machine list may lag behind
     * @return names of the failed machines, which are to be deleted in the cloud
     */
    List<String> applyMachineList(List<ListedMachine> machineList, double listLagS, double nowS) {
        List<String> failed = new ArrayList<>();
        Set<String> listedNames = new HashSet<>();
        for (ListedMachine listed : machineList) {
            listedNames.add(listed.name());
            if (cluster.isMachineGone(listed.name())) {
                continue;
            }
            if (listed.status() == ListedMachine.Status.FAILED) {
                cluster.recordMachineGone(listed.name(), nowS, "failed");
                failed.add(listed.name());
                continue;
            }
            update(listed, nowS);
        }
        for (Machine machine : cluster.machines.values()) {
            // A machine that was listed once stays listed until it is gone, and no list is older than twice the lag.
            machine.unlisted = !listedNames.contains(machine.name)
                    && nowS - machine.firstListedS > 2 * listLagS + Constants.TIMING_MARGIN_S;
        }
        return failed;
    }

    /** Adds a listed machine if it is not known, and adopts what was not known of it. */
    private void update(ListedMachine listed, double nowS) {
        Machine machine = cluster.machines.get(listed.name());
        if (machine == null) {
            machine = new Machine(listed.name(), nowS);
            machine.rentedS = nowS - listed.ageS();
            cluster.addMachine(machine);
        }
        machine.listedAsRunning |= listed.status() == ListedMachine.Status.RUNNING;
        if (machine.type == null) {
            machine.type = cluster.type(listed.type());
        }
        if (machine.zone == null) {
            machine.zone = listed.zone();
        }
        if (!machine.hasReported) {
            machine.spot = listed.spot();
        }
        if (machine.address == null) {
            machine.address = listed.address();
        }
        if (Double.isNaN(machine.firstListedS)) {
            machine.firstListedS = nowS;
        }
    }
}
