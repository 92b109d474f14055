/** Rounds that place the tasks of jobs on machines, after the design of pipelined gangs. */
package org.mountlug.core.allocate;
