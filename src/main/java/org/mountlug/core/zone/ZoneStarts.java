package org.mountlug.core.zone;

/**
 * Numbers of task starts in one zone.
 *
 * @param succeeded starts that succeeded since the leader's term began
 * @param lost starts that did not lead to a running task since then
 * @param inProgress starts that are in progress now
 */
record ZoneStarts(long succeeded, long lost, int inProgress) {}
