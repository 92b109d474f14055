package org.mountlug.node;

import java.util.List;
import org.mountlug.core.admit.AdmissionDecision;
import org.mountlug.core.admit.QueueDemand;
import org.mountlug.core.model.JobSpec;

/** Decides which submissions and cancellations a controller admits, so that the state service is not overloaded. */
public interface AdmissionControl {
    /** Decides whether a valid submission that can run is admitted now. */
    AdmissionDecision decide(JobSpec spec);

    /** Acquires a token for a cancellation; false if none is left. Cancellations go ahead of submissions. */
    boolean tryAcquireCancellation();

    /** Returns the submissions counted for each queue at this controller, for the leader. */
    List<QueueDemand> demand();

    /** Does the periodic work; called at each tick of the controller. */
    void tick(double nowS);
}
