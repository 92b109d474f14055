/** The protocol between controllers and the workers on the machines. */
package org.mountlug.agent;
