package org.mountlug.core.scale;

/** A machine as the cloud's lagging list shows it. */
public record ListedMachine(
        String name, String address, String type, String zone, boolean spot, Status status, double ageS) {
    /** What the cloud says of a machine. */
    public enum Status {
        BOOTING,
        RUNNING,
        FAILED
    }
}
