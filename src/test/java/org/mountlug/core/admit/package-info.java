/** Tests of fair admission: the decisions alone, by cases and by generated histories. */
package org.mountlug.core.admit;
