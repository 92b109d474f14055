/** Tests of one or several controllers against in-memory fakes of the state service, the cloud and the workers. */
package org.mountlug.node;
