/** Records, transactions and rate limits of the state service. */
package org.mountlug.store;
