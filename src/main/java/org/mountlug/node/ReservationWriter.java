package org.mountlug.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.mountlug.Constants;
import org.mountlug.core.model.Job;
import org.mountlug.core.model.Reservation;
import org.mountlug.store.ReservationCodec;
import org.mountlug.store.StateKeys;
import org.mountlug.store.Transaction;

/**
 * Keeps the stored reservations equal to the leader's: adds the differences to transactions of {@link RecordWriter} and
 * records which of them were stored.
 */
final class ReservationWriter {
    private final LeaderTerm term;
    /** By job ID, the reservations as the state service holds them. */
    private Map<String, List<Reservation>> storedReservations = new HashMap<>();
    /** What is stored once the transaction in flight has been executed; null if it changes no reservation. */
    private Map<String, List<Reservation>> reservationsInFlight;
    /** By job ID, the revision of the stored reservations. */
    private final Map<String, Long> storedRevisions = new HashMap<>();
    /** Monotonic time before which no reservation is written, after the state service rejected a write. */
    private double retryNotBeforeS;

    ReservationWriter(LeaderTerm term) {
        this.term = term;
    }

    /** Takes over the reservations that an earlier leader has stored; the cluster receives those of live jobs. */
    void restore(Map<String, List<Reservation>> byJob, Map<String, Long> revisions) {
        byJob.forEach((id, reservations) -> {
            storedReservations.put(id, reservations);
            if (term.cluster.jobs.containsKey(id)) {
                term.cluster.reservations.put(id, reservations);
            }
        });
        storedRevisions.putAll(revisions);
    }

    /** Whether the transaction in flight changes reservations. */
    boolean isWriteInFlight() {
        return reservationsInFlight != null;
    }

    /** Adds up to {@code maxWrites} changes of reservations to a transaction and returns the number of added writes. */
    int addChangesTo(Transaction transaction, int maxWrites, double nowS) {
        reservationsInFlight = null;
        if (nowS < retryNotBeforeS || term.cluster.reservations.equals(storedReservations)) {
            return 0;
        }
        Map<String, List<Reservation>> updated = new HashMap<>(storedReservations);
        int writeCount = putChanged(transaction, maxWrites, updated);
        for (String id : new ArrayList<>(updated.keySet())) {
            if (writeCount >= maxWrites || term.cluster.reservations.containsKey(id)) {
                continue;
            }
            requireStoredRevision(transaction, id);
            transaction.delete(StateKeys.RESERVATIONS + id);
            updated.remove(id);
            writeCount++;
        }
        reservationsInFlight = updated;
        return writeCount;
    }

    private int putChanged(Transaction transaction, int maxWrites, Map<String, List<Reservation>> updated) {
        int writeCount = 0;
        for (Map.Entry<String, List<Reservation>> entry : term.cluster.reservations.entrySet()) {
            String id = entry.getKey();
            Job job = term.cluster.jobs.get(id);
            if (writeCount >= maxWrites || job == null || entry.getValue().equals(updated.get(id))) {
                continue;
            }
            requireStoredRevision(transaction, id);
            transaction.requireRevision(StateKeys.LIVE_JOBS + id, job.revision);
            transaction.put(
                    StateKeys.RESERVATIONS + id, ReservationCodec.write(entry.getValue(), term.maxValueChars()));
            updated.put(id, entry.getValue());
            writeCount++;
        }
        return writeCount;
    }

    /**
     * Makes the transaction depend on the revision of the stored reservations. With the condition on the leader key alone, a
     * write that is executed late could replace a newer one of the same term. Since the reservations of a job may be deleted
     * and created again, a put also depends on the revision of the job's record, which changes when the job is placed.
     */
    private void requireStoredRevision(Transaction transaction, String id) {
        transaction.requireRevision(StateKeys.RESERVATIONS + id, storedRevisions.getOrDefault(id, 0L));
    }

    /** Records that the transaction in flight, if there is one, changes no reservations. */
    void clearInFlight() {
        reservationsInFlight = null;
    }

    /** Records that the transaction in flight was executed: the reservations that it changed have this revision. */
    void recordStored(long revision) {
        if (reservationsInFlight == null) {
            return;
        }
        for (Map.Entry<String, List<Reservation>> entry : reservationsInFlight.entrySet()) {
            if (!entry.getValue().equals(storedReservations.get(entry.getKey()))) {
                storedRevisions.put(entry.getKey(), revision);
            }
        }
        storedRevisions.keySet().retainAll(reservationsInFlight.keySet());
        storedReservations = reservationsInFlight;
    }

    /** Stops writing reservations for a while: the state service rejected a transaction that held no job. */
    void recordRejection(double nowS) {
        retryNotBeforeS = nowS + Constants.REJECTED_JOB_WRITE_PAUSE_S;
    }

    /**
     * Reads the stored reservations again after a failed condition, because an earlier copy of the transaction may have been
     * executed; then runs {@code onReloaded}.
     */
    void reload(Runnable onReloaded) {
        term.environment.state().list(StateKeys.RESERVATIONS, null, response -> {
            if (term.hasEnded()) {
                return;
            }
            if (response.status() != 200) {
                term.runLater(() -> reload(onReloaded), Constants.READ_BACK_RETRY_MS);
                return;
            }
            storedReservations = new HashMap<>();
            storedRevisions.clear();
            JobRecordWatch.parseReservations(response.body(), (byJob, revisions) -> {
                storedReservations.putAll(byJob);
                storedRevisions.putAll(revisions);
            });
            onReloaded.run();
        });
    }
}
