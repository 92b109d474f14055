package org.mountlug.core.cluster;

/**
 * The fencing tokens of a term, for the metrics.
 *
 * @param termToken revision of the leader key
 * @param provenRevision highest revision at which this term is proven to have led
 * @param raisedMachines number of machines whose messages carry a higher token than the term token
 * @param withheldForgets number of exited attempts that workers are not told to forget, as a copy of their direct start
 *     could still take effect
 */
public record CommandStatus(long termToken, long provenRevision, int raisedMachines, int withheldForgets) {}
