package org.mountlug.node;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.mountlug.core.admit.AdmissionDecision;
import org.mountlug.core.admit.AdmissionGate;
import org.mountlug.core.admit.QueueDemand;
import org.mountlug.core.admit.QueueId;
import org.mountlug.core.model.JobSpec;
import org.mountlug.core.model.Team;
import org.mountlug.settings.OperatorSettings;
import org.mountlug.settings.Settings;
import org.mountlug.store.StateClient;

/** Admits submissions according to the table that the leader publishes, see {@link AdmissionGate}. */
final class FairShareAdmission implements AdmissionControl {
    private final Environment environment;
    private final StateClient state;
    private final AdmissionGate gate;
    private final AdmissionWatch watch;

    FairShareAdmission(Environment environment) {
        this.environment = environment;
        state = environment.state();
        Settings settings = environment.settings();
        AdmissionGate.Deployment deployment = new AdmissionGate.Deployment(
                teamWeights(settings, environment.operators()),
                settings.peers().size() + 1,
                settings.stateWriteRps(),
                settings.maxClockSkewMs());
        gate = new AdmissionGate(environment.operators().admission(), deployment);
        watch = new AdmissionWatch(environment, gate);
    }

    /** Returns the weight of each team's queue, as operators set it. */
    static Map<String, Double> teamWeights(Settings settings, OperatorSettings operators) {
        Map<String, Double> weights = new HashMap<>();
        for (Team team : settings.teams()) {
            weights.put(team.name(), operators.teamWeight(team.name()));
        }
        return weights;
    }

    @Override
    public AdmissionDecision decide(JobSpec spec) {
        QueueId queue = new QueueId(spec.team(), spec.jobClass());
        gate.recordStateRateLimit(state.lastRateLimitedS());
        AdmissionDecision decision = gate.decide(queue, spec.id(), nowMs(), nowS());
        if (decision instanceof AdmissionDecision.Admit) {
            state.chargeRequest();
        }
        return decision;
    }

    @Override
    public boolean tryAcquireCancellation() {
        boolean acquired = state.tryAcquireSubmission();
        if (acquired) {
            gate.chargeCancellation(nowMs(), nowS());
        }
        return acquired;
    }

    @Override
    public List<QueueDemand> demand() {
        return gate.demand();
    }

    @Override
    public void tick(double nowS) {
        watch.tick(nowS);
    }

    private long nowMs() {
        return environment.epochMs().getAsLong();
    }

    private double nowS() {
        return environment.clockS().getAsDouble();
    }
}
