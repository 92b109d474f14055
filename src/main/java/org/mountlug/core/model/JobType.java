package org.mountlug.core.model;

/**
 * How the tasks of a job run: each task of an array runs to its end by itself, the tasks of a gang run all at the same
 * time or not at all, and the tasks of a service (its replicas) run until a user cancels the job.
 */
public enum JobType {
    ARRAY,
    GANG,
    SERVICE
}
