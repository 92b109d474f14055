/** A cluster scheduler: controllers take jobs from users, rent machines from a cloud and run tasks through workers. */
package org.mountlug;
