/** Samples shared by the tests. */
package org.mountlug;
