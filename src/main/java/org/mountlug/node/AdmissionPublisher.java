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
 * The leader's part of admission: plans the admission table from the demand at all controllers and publishes it, once a second
 * while any queue is limited and not at all otherwise. A new leader continues the stored schedules. Each write also depends on
 * the revision of its record, so that a transaction that is executed late cannot replace a newer table.
 */
final class AdmissionPublisher {
    private static final Logger LOG = LoggerFactory.getLogger(AdmissionPublisher.class);

    private final LeaderTerm term;
    private final TokenBucket writeRateLimit;
    private final AdmissionPlanner planner;
    private final AdmissionCapacity capacity;
    private final AdmissionControl localAdmission;
    private final boolean enabled;
    /** By key, the revisions of the stored records of the table. */
    private final Map<String, Long> storedRevisions = new HashMap<>();

    private boolean loaded;
    private boolean callInFlight;
    /** Whether the stored table limits a queue, or may do so because the outcome of its last write is unknown. */
    private boolean queuesLimited;

    private double nextPlanS;
    /** Monotonic time at which the state service was last seen to be unavailable, or at which this term began. */
    private double lastUnavailableS;

    AdmissionPublisher(LeaderTerm term, TokenBucket writeRateLimit, AdmissionControl localAdmission) {
        this.term = term;
        this.writeRateLimit = writeRateLimit;
        this.localAdmission = localAdmission;
        this.lastUnavailableS = term.nowS();
        Settings settings = term.environment.settings();
        double writesPerS = settings.stateWriteRps();
        capacity = new AdmissionCapacity(writesPerS, writesPerS * Constants.LEADER_WRITE_SHARE);
        enabled = term.environment.operators().admission().enabled();
        planner = new AdmissionPlanner(
                FairShareAdmission.teamWeights(settings, term.environment.operators()),
                settings.peers().size() + 1);
    }

    /** Records the demand at another controller; {@code incarnation} names the life of its process. */
    void recordDemand(String controller, long incarnation, List<QueueDemand> demand) {
        planner.observeDemand(controller, incarnation, demand, term.nowS());
    }

    /** Plans the table and publishes it if necessary, once in a plan interval. */
    void tick(double nowS) {
        if (!enabled || callInFlight || nowS < nextPlanS) {
            return;
        }
        if (!loaded) {
            loadTable();
            return;
        }
        nextPlanS = nowS + Constants.Admission.PLAN_INTERVAL_MS / 1000.0;
        String label = term.environment.settings().label();
        planner.observeDemand(label, term.cluster.termToken(), localAdmission.demand(), nowS);
        capacity.observeLeaderWrites(writeRateLimit.totalAcquired(), queuesLimited, nowS);
        AdmissionTable table = planner.plan(capacity, hasRecoveredFromOutage(nowS), nowEpochMs(), nowS);
        planner.drainTransitions().forEach(AdmissionPublisher::logTransition);
        if ((queuesLimited || !table.schedules().isEmpty()) && term.isLeaseHeld(nowS)) {
            publish(table, nowS);
        }
    }

    /** Whether the last outage of the state service is long enough ago for clients to have retried. */
    private boolean hasRecoveredFromOutage(double nowS) {
        if (!term.environment.state().isAvailable()) {
            lastUnavailableS = nowS;
        }
        return nowS - lastUnavailableS > Constants.Admission.OUTAGE_RECOVERY_S;
    }

    private long nowEpochMs() {
        return term.environment.epochMs().getAsLong();
    }

    private static void logTransition(AdmissionPlanner.DeferralTransition transition) {
        LOG.info(
                "submissions of team {} are {}: {} submissions/s requested, {} submissions/s may be admitted",
                transition.team(),
                transition.deferred() ? "deferred" : "no longer deferred",
                Math.round(transition.submissionsPerS() * 10) / 10.0,
                Math.round(transition.admittedPerS() * 10) / 10.0);
    }

    // ---- the stored table ---------------------------------------------------------------------------------------

    private void loadTable() {
        beginCall();
        term.environment.state().list(StateKeys.ADMISSION, null, response -> {
            callInFlight = false;
            if (term.hasEnded() || response.status() != 200) {
                return;
            }
            List<Map<String, Object>> records = new ArrayList<>();
            storedRevisions.clear();
            for (Object element : Fields.getList(response.body(), "rows")) {
                Map<String, Object> row = Fields.asMap(element);
                storedRevisions.put(Fields.getString(row, "k"), Fields.getLong(row, "stamp", 0));
                records.add(Fields.asMap(row.get("v")));
            }
            restore(AdmissionCodec.read(records));
            loaded = true;
        });
    }

    private void beginCall() {
        callInFlight = true;
        nextPlanS = term.nowS() + Constants.Admission.PLAN_INTERVAL_MS / 1000.0;
    }

    private void restore(AdmissionTable table) {
        if (queuesLimited) {
            return; // read again after a failed write: the plan of this term stays in use
        }
        planner.restore(table, nowEpochMs());
        queuesLimited = table.limitsAnyQueue(nowEpochMs());
        if (queuesLimited) {
            capacity.restore(table.capacityPerS(), term.nowS());
            LOG.info(
                    "{} queues are limited, restored from the previous leader",
                    table.schedules().size());
        }
    }

    private void publish(AdmissionTable table, double nowS) {
        List<Map<String, Object>> records = AdmissionCodec.write(table, term.maxValueChars());
        int recordCount = Math.min(records.size(), term.environment.settings().txnOps());
        Transaction transaction = term.newFencedTransaction();
        for (int recordNumber = 0; recordNumber < recordCount; recordNumber++) {
            String key = StateKeys.ADMISSION + recordNumber;
            transaction
                    .requireRevision(key, storedRevisions.getOrDefault(key, 0L))
                    .put(key, records.get(recordNumber));
        }
        writeRateLimit.charge(nowS, recordCount);
        beginCall();
        term.environment.state().commit(transaction, response -> {
            callInFlight = false;
            if (!term.hasEnded()) {
                handlePublishResponse(response, recordCount, !table.schedules().isEmpty());
            }
        });
    }

    private void handlePublishResponse(PooledHttpClient.Response response, int recordCount, boolean limitsQueues) {
        queuesLimited |= limitsQueues;
        if (response.status() == 200) {
            long revision = Fields.getLong(response.body(), "epoch", 0);
            for (int recordNumber = 0; recordNumber < recordCount; recordNumber++) {
                storedRevisions.put(StateKeys.ADMISSION + recordNumber, revision);
            }
            queuesLimited = limitsQueues;
        } else if (response.status() != 429 && response.status() != 503) {
            loaded = false; // the write may have been executed or met another record: read the revisions again
        }
    }
}
