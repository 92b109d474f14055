/** One controller: its election, its term as a leader, its process. */
package org.mountlug.node;
