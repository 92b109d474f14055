/** Tests of the settings and their errors. */
package org.mountlug.settings;
