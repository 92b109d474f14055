package org.mountlug.core.scale;

/** An entry of the cloud's machine list, which lags behind the actual state. */
public record ListedMachine(
        String name, String address, String type, String zone, boolean spot, Status status, double ageS) {
    /** The cloud's status of a machine. */
    public enum Status {
        BOOTING,
        RUNNING,
        FAILED
    }
}
