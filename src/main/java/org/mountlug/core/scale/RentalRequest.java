package org.mountlug.core.scale;

/** A request for machines; its name is unique over all time and all nodes. */
public record RentalRequest(String name, String type, String zone, boolean spot, int count) {
    /** The kind of machine that is asked for. */
    public CapacityPool pool() {
        return new CapacityPool(type, zone, spot);
    }
}
