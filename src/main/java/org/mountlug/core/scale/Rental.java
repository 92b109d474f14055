package org.mountlug.core.scale;

/** A request for machines; its name is unique over all time and all nodes. */
public record Rental(String name, String type, String zone, boolean spot, int count) {
    /** The kind of machine that is asked for. */
    public MachineKind kind() {
        return new MachineKind(type, zone, spot);
    }
}
