/** Election of one leader by a key that is bound to a lease in the state service. */
package org.mountlug.core.lead;
