/** Allocation rounds: place the tasks of jobs on machines, and reserve releasing capacity for gangs. */
package org.mountlug.core.allocate;
