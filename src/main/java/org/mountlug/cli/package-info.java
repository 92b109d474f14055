/** The command line, and the rehearsal that the build runs to make a class-data archive. */
package org.mountlug.cli;
