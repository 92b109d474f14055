/** Preemption: which tasks stop to make room for others. */
package org.mountlug.core.preempt;
