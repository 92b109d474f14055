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
     * Adds the listed machines that are not known, removes failed ones with their attempts, and records for each machine
     * what the list shows of it.
     *
     * @param describedSinceS earliest monotonic time in seconds that the list may describe
     * @return names of the failed machines, which are to be deleted in the cloud
     */
    List<String> applyMachineList(List<ListedMachine> machineList, double describedSinceS, double nowS) {
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
            machine.listing = listedNames.contains(machine.name)
                    ? MachineListing.LISTED
                    : listingOfMissing(machine, describedSinceS);
        }
        return failed;
    }

    /**
     * Returns what a list shows of a machine that it lacks. A list shows all machines that exist at the time it describes, so
     * it does not matter whether an earlier list showed the machine.
     */
    private static MachineListing listingOfMissing(Machine machine, double describedSinceS) {
        boolean rentedBefore = machine.rentedS + Constants.TIMING_MARGIN_S < describedSinceS;
        return rentedBefore ? MachineListing.GONE : MachineListing.PENDING;
    }

    /** Adds a listed machine if it is not known, and adopts what was not known of it. */
    private void update(ListedMachine listed, double nowS) {
        Machine machine = cluster.machines.get(listed.name());
        if (machine == null) {
            machine = cluster.addMachine(new Machine(listed.name(), nowS));
        }
        machine.rentedS = Math.min(machine.rentedS, nowS - listed.ageS());
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
    }
}
