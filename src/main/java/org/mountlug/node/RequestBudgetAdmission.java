package org.mountlug.node;

import java.util.List;
import org.mountlug.core.admit.AdmissionDecision;
import org.mountlug.core.admit.QueueDemand;
import org.mountlug.core.model.JobSpec;
import org.mountlug.store.StateClient;

/** Admits submissions while this controller's request budget lasts, whoever asks. */
final class RequestBudgetAdmission implements AdmissionControl {
    private final StateClient state;

    RequestBudgetAdmission(StateClient state) {
        this.state = state;
    }

    @Override
    public AdmissionDecision decide(JobSpec spec) {
        return state.takeSubmission() ? new AdmissionDecision.Admit() : new AdmissionDecision.OverBudget();
    }

    @Override
    public boolean takeCancellation() {
        return state.takeSubmission();
    }

    @Override
    public List<QueueDemand> demand() {
        return List.of();
    }

    @Override
    public void tick(double nowS) {}
}
