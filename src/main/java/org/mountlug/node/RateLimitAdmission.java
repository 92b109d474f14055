package org.mountlug.node;

import java.util.List;
import org.mountlug.core.admit.AdmissionDecision;
import org.mountlug.core.admit.QueueDemand;
import org.mountlug.core.model.JobSpec;
import org.mountlug.store.StateClient;

/** Admits submissions within this controller's rate limit, without regard to teams. */
final class RateLimitAdmission implements AdmissionControl {
    private final StateClient state;

    RateLimitAdmission(StateClient state) {
        this.state = state;
    }

    @Override
    public AdmissionDecision decide(JobSpec spec) {
        return state.tryAcquireSubmission() ? new AdmissionDecision.Admit() : new AdmissionDecision.RateLimited();
    }

    @Override
    public boolean tryAcquireCancellation() {
        return state.tryAcquireSubmission();
    }

    @Override
    public List<QueueDemand> demand() {
        return List.of();
    }

    @Override
    public void tick(double nowS) {}
}
