/** Status requests and responses between the controllers, over a binary protocol, and their evaluation. */
package org.mountlug.peer;
