/** Tests of the records in the state service, including those written by the production version. */
package org.mountlug.store;
