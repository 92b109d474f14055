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

/** Keeps the stored reservations equal to the leader's: which of them go into a transaction, and what became of that. */
final class ReservationWriter {
    private final LeaderTerm term;
    private Map<String, List<Reservation>> written = new HashMap<>();
    private Map<String, List<Reservation>> inFlight;
    /** Revisions of the stored reservations. */
    private final Map<String, Long> stamps = new HashMap<>();
    /** Until when nothing is written, after a change was refused. */
    private double againS;

    ReservationWriter(LeaderTerm term) {
        this.term = term;
    }

    /** What an earlier leader has stored. */
    void restore(Map<String, List<Reservation>> byJob, Map<String, Long> revisions) {
        byJob.forEach((id, reservations) -> {
            written.put(id, reservations);
            if (term.cluster.jobs.containsKey(id)) {
                term.cluster.reservations.put(id, reservations);
            }
        });
        stamps.putAll(revisions);
    }

    /** Whether reservations are part of the transaction on its way. */
    boolean isWriteInFlight() {
        return inFlight != null;
    }

    /** Adds changed reservations to a transaction; returns how many writes that takes. */
    int addChangesTo(Transaction change, int room, double nowS) {
        inFlight = null;
        if (nowS < againS || term.cluster.reservations.equals(written)) {
            return 0;
        }
        Map<String, List<Reservation>> next = new HashMap<>(written);
        int used = put(change, room, next);
        for (String id : new ArrayList<>(next.keySet())) {
            if (used >= room || term.cluster.reservations.containsKey(id)) {
                continue;
            }
            guard(change, id);
            change.delete(StateKeys.RESERVATIONS + id);
            next.remove(id);
            used++;
        }
        inFlight = next;
        return used;
    }

    private int put(Transaction change, int room, Map<String, List<Reservation>> next) {
        int used = 0;
        for (Map.Entry<String, List<Reservation>> entry : term.cluster.reservations.entrySet()) {
            String id = entry.getKey();
            Job job = term.cluster.jobs.get(id);
            if (used >= room || job == null || entry.getValue().equals(next.get(id))) {
                continue;
            }
            guard(change, id);
            change.requireRevision(StateKeys.LIVE_JOBS + id, job.revision);
            change.put(StateKeys.RESERVATIONS + id, ReservationCodec.write(entry.getValue(), term.maxValueChars()));
            next.put(id, entry.getValue());
            used++;
        }
        return used;
    }

    /**
     * The leader key alone would let a change that is carried out late replace a newer one of the same term. As the key
     * comes and goes, a put is guarded by the job's record too, which moves on when the job is placed.
     */
    private void guard(Transaction change, String id) {
        change.requireRevision(StateKeys.RESERVATIONS + id, stamps.getOrDefault(id, 0L));
    }

    /** Nothing is added to the next transaction. */
    void clearInFlight() {
        inFlight = null;
    }

    /** The transaction on its way was carried out: what it changed has this revision. */
    void recordStored(long epoch) {
        if (inFlight == null) {
            return;
        }
        for (Map.Entry<String, List<Reservation>> entry : inFlight.entrySet()) {
            if (!entry.getValue().equals(written.get(entry.getKey()))) {
                stamps.put(entry.getKey(), epoch);
            }
        }
        stamps.keySet().retainAll(inFlight.keySet());
        written = inFlight;
    }

    /** The transaction on its way was refused for good, and for no job's fault. */
    void recordRefusal(double nowS) {
        againS = nowS + Constants.REFUSED_JOB_WRITE_PAUSE_S;
    }

    /** After a failed condition: what is stored is read anew, as the failed change may have been carried out before. */
    void reload(Runnable then) {
        term.environment.state().list(StateKeys.RESERVATIONS, null, answer -> {
            if (term.hasEnded()) {
                return;
            }
            if (answer.status() != 200) {
                term.runLater(() -> reload(then), Constants.READ_BACK_RETRY_MS);
                return;
            }
            written = new HashMap<>();
            stamps.clear();
            JobRecordWatch.parseReservations(answer.body(), (byJob, revisions) -> {
                written.putAll(byJob);
                stamps.putAll(revisions);
            });
            then.run();
        });
    }
}
