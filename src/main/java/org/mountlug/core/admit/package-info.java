/**
 * Fair admission of submissions when there are more than the state service can accept: which submission is admitted
 * now, and which one is deferred and until when. Capacity is divided between teams and their job classes by weighted
 * max-min fairness. Within a queue a cursor on a hash ring gives every submission its turn, so that all controllers
 * announce the same turn without a record of who waits. Decisions only, without input or output. The design is
 * described in {@code docs/admission.md}.
 */
package org.mountlug.core.admit;
