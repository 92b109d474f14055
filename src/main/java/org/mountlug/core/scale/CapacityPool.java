package org.mountlug.core.scale;

import org.mountlug.core.cluster.Machine;

/** What the cloud's capacity is counted by: a machine type in a zone, spot or ordinary. */
public record CapacityPool(String type, String zone, boolean spot) {
    /** The kind of a machine whose type is known. */
    public static CapacityPool of(Machine machine) {
        return new CapacityPool(machine.type.name(), machine.zone, machine.spot);
    }

    @Override
    public String toString() {
        return type + " in " + zone + (spot ? " spot" : "");
    }
}
