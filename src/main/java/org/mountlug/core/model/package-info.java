/** Jobs, tasks, machines and teams, and the messages that the core decides on. */
package org.mountlug.core.model;
