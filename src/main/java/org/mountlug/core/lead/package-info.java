/** The election of one leader by a key on a lease. */
package org.mountlug.core.lead;
