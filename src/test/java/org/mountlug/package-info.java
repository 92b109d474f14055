/** Fixtures that tests of several packages share. */
package org.mountlug;
