/** Which machines are rented and returned. */
package org.mountlug.core.scale;
