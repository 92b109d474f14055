/** The protocol between controllers and the cloud that rents machines. */
package org.mountlug.cloud;
