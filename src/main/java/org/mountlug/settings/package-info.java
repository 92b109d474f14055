/** The platform's settings and the operators' own, checked. */
package org.mountlug.settings;
