/**
 * Handling of availability zones that drop off the network and return: the tracked state of each zone, the order in which
 * displaced work is placed in other zones, and the gradual admission of work once the zone is back. Decisions only, without
 * input or output.
 */
package org.mountlug.core.zone;
