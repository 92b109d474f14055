/** Tests of the protocol between controllers. */
package org.mountlug.peer;
