/** A controller: its election, its terms as a leader and its process. */
package org.mountlug.node;
