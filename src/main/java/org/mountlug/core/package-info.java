/** Decisions without input or output: time and randomness come in as arguments, decisions go out as values. */
package org.mountlug.core;
