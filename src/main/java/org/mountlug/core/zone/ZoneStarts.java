package org.mountlug.core.zone;

/**
 * Starts in one zone.
 *
 * @param succeeded those that have succeeded since the leader's term began
 * @param lost those that came to nothing since then
 * @param inProgress those that are under way now
 */
record ZoneStarts(long succeeded, long lost, int inProgress) {}
