/** What the controllers tell each other, over a protocol of their own. */
package org.mountlug.peer;
