/** Tests of records, and of records written by the version in production. */
package org.mountlug.store;
