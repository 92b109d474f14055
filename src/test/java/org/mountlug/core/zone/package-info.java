/** Tests of the tracking of lost zones and of the return of work to them. */
package org.mountlug.core.zone;
