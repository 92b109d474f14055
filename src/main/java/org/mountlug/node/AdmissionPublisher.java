package org.mountlug.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.mountlug.Constants;
import org.mountlug.core.admit.AdmissionCapacity;
import org.mountlug.core.admit.AdmissionPlanner;
import org.mountlug.core.admit.AdmissionTable;
import org.mountlug.core.admit.QueueDemand;
import org.mountlug.settings.Settings;
import org.mountlug.store.AdmissionCodec;
import org.mountlug.store.StateKeys;
import org.mountlug.store.TokenBucket;
import org.mountlug.store.Transaction;
import org.mountlug.wire.Fields;
import org.mountlug.wire.PooledHttpClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The leader's part of admission: plans the table from what all controllers are asked and publishes it, once a second while
 * any queue is limited and not at all otherwise. A new leader goes on with the schedules that it finds. Each record is
 * guarded by its own revision too, so that a transaction that is carried out late replaces no newer table.
 */
final class AdmissionPublisher {
    private static final Logger LOG = LoggerFactory.getLogger(AdmissionPublisher.class);

    private final LeaderTerm term;
    private final TokenBucket writes;
    private final AdmissionPlanner planner;
    private final AdmissionCapacity budget;
    private final AdmissionControl own;
    private final boolean enabled;
    private final Map<String, Long> revisions = new HashMap<>();
    private boolean loaded;
    private boolean calling;
    /** Whether the table that was published last limits a queue. */
    private boolean limiting;

    private double nextPlanS;
    /** Steady seconds at which the state service was last seen not to serve, or this term began. */
    private double unservedS;

    AdmissionPublisher(LeaderTerm term, TokenBucket writes, AdmissionControl own) {
        this.term = term;
        this.writes = writes;
        this.own = own;
        this.unservedS = term.nowS();
        Settings settings = term.environment.settings();
        double changesPerS = settings.stateWriteRps();
        budget = new AdmissionCapacity(changesPerS, changesPerS * Constants.LEADER_WRITE_SHARE);
        enabled = term.environment.operators().admission().enabled();
        planner = new AdmissionPlanner(
                FairShareAdmission.weights(settings, term.environment.operators()),
                settings.peers().size() + 1);
    }

    /** Takes in what another controller was asked; {@code boot} names its process. */
    void recordDemand(String controller, long boot, List<QueueDemand> demand) {
        planner.observeDemand(controller, boot, demand, term.nowS());
    }

    /** Plans and publishes if it is time. */
    void tick(double nowS) {
        if (!enabled || calling || nowS < nextPlanS) {
            return;
        }
        if (!loaded) {
            load();
            return;
        }
        nextPlanS = nowS + Constants.Admission.PLAN_INTERVAL_MS / 1000.0;
        String label = term.environment.settings().label();
        planner.observeDemand(label, term.cluster.token(), own.demand(), nowS);
        budget.observeLeaderWrites(writes.totalAcquired(), limiting, nowS);
        AdmissionTable table = planner.plan(budget, servedForLong(nowS), nowMs(), nowS);
        planner.drainTransitions().forEach(AdmissionPublisher::log);
        if ((limiting || !table.schedules().isEmpty()) && term.isLeaseHeld(nowS)) {
            publish(table, nowS);
        }
    }

    private boolean servedForLong(double nowS) {
        if (!term.environment.state().isServed()) {
            unservedS = nowS;
        }
        return nowS - unservedS > Constants.Admission.OUTAGE_RECOVERY_S;
    }

    private long nowMs() {
        return term.environment.epochMs().getAsLong();
    }

    private static void log(AdmissionPlanner.DeferralTransition transition) {
        LOG.info(
                "submissions of team {} are {}: {} a second are asked, {} may be admitted",
                transition.team(),
                transition.deferred() ? "deferred" : "deferred no more",
                Math.round(transition.submissionsPerS() * 10) / 10.0,
                Math.round(transition.admittedPerS() * 10) / 10.0);
    }

    // ---- the stored table ---------------------------------------------------------------------------------------

    private void load() {
        call();
        term.environment.state().list(StateKeys.ADMISSION, null, answer -> {
            calling = false;
            if (term.hasEnded() || answer.status() != 200) {
                return;
            }
            List<Map<String, Object>> records = new ArrayList<>();
            revisions.clear();
            for (Object element : Fields.getList(answer.body(), "rows")) {
                Map<String, Object> row = Fields.asMap(element);
                revisions.put(Fields.getString(row, "k"), Fields.getLong(row, "stamp", 0));
                records.add(Fields.asMap(row.get("v")));
            }
            restore(AdmissionCodec.read(records));
            loaded = true;
        });
    }

    private void call() {
        calling = true;
        nextPlanS = term.nowS() + Constants.Admission.PLAN_INTERVAL_MS / 1000.0;
    }

    private void restore(AdmissionTable table) {
        if (limiting) {
            return; // read again after a failed write: what this term has planned goes on
        }
        planner.restore(table, nowMs());
        limiting = table.limitsAnyQueue(nowMs());
        if (limiting) {
            budget.restore(table.capacityPerS(), term.nowS());
            LOG.info(
                    "{} queues are limited, as the last leader left it",
                    table.schedules().size());
        }
    }

    private void publish(AdmissionTable table, double nowS) {
        List<Map<String, Object>> records = AdmissionCodec.write(table, term.maxValueChars());
        int written = Math.min(records.size(), term.environment.settings().txnOps());
        Transaction change = term.newFencedTransaction();
        for (int number = 0; number < written; number++) {
            String key = StateKeys.ADMISSION + number;
            change.requireRevision(key, revisions.getOrDefault(key, 0L)).put(key, records.get(number));
        }
        writes.charge(nowS, written);
        call();
        term.environment.state().commit(change, answer -> {
            calling = false;
            if (!term.hasEnded()) {
                published(answer, written, !table.schedules().isEmpty());
            }
        });
    }

    private void published(PooledHttpClient.Response answer, int written, boolean limits) {
        limiting |= limits;
        if (answer.status() == 200) {
            long revision = Fields.getLong(answer.body(), "epoch", 0);
            for (int number = 0; number < written; number++) {
                revisions.put(StateKeys.ADMISSION + number, revision);
            }
            limiting = limits;
        } else if (answer.status() != 429 && answer.status() != 503) {
            loaded = false; // it may have been carried out, or another record is there: the revisions are read again
        }
    }
}
