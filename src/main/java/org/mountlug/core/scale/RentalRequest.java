package org.mountlug.core.scale;

/** A request to rent machines; no other request of any controller has or had the same name. */
public record RentalRequest(String name, String type, String zone, boolean spot, int count) {
    /** Returns the capacity pool to rent from. */
    public CapacityPool pool() {
        return new CapacityPool(type, zone, spot);
    }
}
