/** Tests of fair admission: the decisions in isolation, by cases and by generated histories. */
package org.mountlug.core.admit;
