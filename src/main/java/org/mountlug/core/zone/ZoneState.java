package org.mountlug.core.zone;

/** The state of a zone in the leader's view. It only influences decisions; it never proves that a task has ended. */
public enum ZoneState {
    /** The zone's machines are reporting, or it has too few of them to be judged. */
    PRESENT,
    /** Many of its machines are silent; no machines are rented there, but its reporting machines are still used. */
    SUSPECT,
    /** The zone as a whole is off the network; no work is placed there while another zone is not lost. */
    LOST,
    /** Its machines report again, and it gets work as fast as its {@link ReturnRamp} allows. */
    RETURNING
}
