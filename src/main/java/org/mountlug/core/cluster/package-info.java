/** The leader's view of jobs and machines, and of what is proven about the state of each attempt. */
package org.mountlug.core.cluster;
