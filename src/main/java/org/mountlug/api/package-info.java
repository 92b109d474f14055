/** The HTTP interface of a controller: users, the load balancer, workers and meters. */
package org.mountlug.api;
