/** The leader's picture of jobs, machines and what each attempt's state has been proven to be. */
package org.mountlug.core.cluster;
