/** Scheduling decisions without I/O: time and random numbers come in as arguments, decisions go out as values. */
package org.mountlug.core;
