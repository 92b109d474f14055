package org.mountlug.core.zone;

/** How the leader regards a zone. A state changes preferences only; it never proves that a task is gone. */
public enum ZoneState {
    /** Its machines are heard, or it has too few of them to be judged. */
    PRESENT,
    /** Many of its machines are silent; nothing is rented there, and what is heard of it is still used. */
    SUSPECT,
    /** The zone as a whole is off the network; nothing is placed there while there is any other zone. */
    LOST,
    /** It is heard again, and gets work back at the pace of its {@link ReturnRamp}. */
    RETURNING
}
