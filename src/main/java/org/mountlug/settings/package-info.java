/** Reads and checks the platform's settings and the operators' settings. */
package org.mountlug.settings;
