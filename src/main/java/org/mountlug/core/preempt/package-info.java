/** Preemption: selects tasks to stop so that other jobs get their capacity. */
package org.mountlug.core.preempt;
