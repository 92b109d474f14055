/** Jobs, placements, machine types and teams, and the reports and commands exchanged with workers. */
package org.mountlug.core.model;
