/**
 * Fair admission of submissions when more is asked than the state service takes: which submission is admitted now, which one is
 * deferred and until when. Capacity is divided between teams and their job classes by weighted max-min fairness; within a
 * queue a cursor on a hash ring gives every submission its turn, so that all controllers name the same one without a
 * record of who waits. Decisions only, without input or output. {@code docs/admission.md} is the design.
 */
package org.mountlug.core.admit;
