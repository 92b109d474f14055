package org.mountlug.core.model;

/**
 * What the tasks of a job have to do with each other and with time: of an array each runs to its end, of a gang all run
 * at the same time or none does, and those of a service (its replicas) run until their user calls them off.
 */
public enum JobType {
    ARRAY,
    GANG,
    SERVICE
}
