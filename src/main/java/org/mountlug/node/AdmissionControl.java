package org.mountlug.node;

import java.util.List;
import org.mountlug.core.admit.AdmissionDecision;
import org.mountlug.core.admit.QueueDemand;
import org.mountlug.core.model.JobSpec;

/** How a controller keeps what users ask within what the state service takes. */
public interface AdmissionControl {
    /** Decides a submission that can run. */
    AdmissionDecision decide(JobSpec spec);

    /** Whether a cancellation may be carried out now; cancellations go ahead of submissions. */
    boolean tryAcquireCancellation();

    /** What was asked of each queue at this controller, for the leader. */
    List<QueueDemand> demand();

    /** One turn of the node's clock. */
    void tick(double nowS);
}
