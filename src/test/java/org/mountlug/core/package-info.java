/** Tests of decisions, without any input or output. */
package org.mountlug.core;
