/** Tests of how users' submissions are checked. */
package org.mountlug.api;
