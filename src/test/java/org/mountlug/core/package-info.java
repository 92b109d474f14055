/** Tests of the core, which decides without input or output. */
package org.mountlug.core;
