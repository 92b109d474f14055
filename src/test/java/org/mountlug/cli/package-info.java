/** Tests of the command line. */
package org.mountlug.cli;
