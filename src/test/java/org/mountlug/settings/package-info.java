/** Tests of the settings and their error messages. */
package org.mountlug.settings;
