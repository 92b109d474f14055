/** Tests of submissions as users send them. */
package org.mountlug.api;
