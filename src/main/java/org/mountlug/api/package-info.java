/** The HTTP interface of a controller for users, the load balancer, workers and the collection of metrics. */
package org.mountlug.api;
