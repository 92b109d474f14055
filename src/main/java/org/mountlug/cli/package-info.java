/** The command line, and the CDS training run with which the build creates a class-data archive. */
package org.mountlug.cli;
