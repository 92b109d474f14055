package org.mountlug.core.scale;

import org.mountlug.core.cluster.Machine;

/** The unit in which the cloud has or lacks capacity: a machine type in a zone, either spot or on-demand. */
public record CapacityPool(String type, String zone, boolean spot) {
    /** Returns the pool of a machine, whose type must be known. */
    public static CapacityPool of(Machine machine) {
        return new CapacityPool(machine.type.name(), machine.zone, machine.spot);
    }

    @Override
    public String toString() {
        return type + " in " + zone + (spot ? " spot" : "");
    }
}
