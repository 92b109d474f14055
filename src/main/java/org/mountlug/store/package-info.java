/** Records, transactions and budgets of the state service. */
package org.mountlug.store;
