/** Tests of how lost zones are tracked and how work returns to them. */
package org.mountlug.core.zone;
