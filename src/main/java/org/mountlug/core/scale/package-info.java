/** Decisions on which machines to rent, drain and return. */
package org.mountlug.core.scale;
