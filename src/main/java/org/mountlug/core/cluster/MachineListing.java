package org.mountlug.core.cluster;

/** What the newest machine list shows of a machine. The list lags behind the actual state. */
public enum MachineListing {
    /** The list lacks the machine, or none was read; it may describe a time before the machine was rented. */
    PENDING,
    /** The list shows the machine, which may be gone by now. */
    LISTED,
    /** The list lacks the machine although it describes a later time than the rental: the machine is gone. */
    GONE
}
