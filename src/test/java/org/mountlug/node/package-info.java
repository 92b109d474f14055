/** Tests of several controllers against a state service, a cloud and workers in memory. */
package org.mountlug.node;
