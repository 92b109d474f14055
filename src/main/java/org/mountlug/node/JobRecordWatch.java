package org.mountlug.node;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.DoubleSupplier;
import org.mountlug.Constants;
import org.mountlug.core.model.Job;
import org.mountlug.core.model.Reservation;
import org.mountlug.store.JobRecordCodec;
import org.mountlug.store.ReservationCodec;
import org.mountlug.store.StateClient;
import org.mountlug.store.StateKeys;
import org.mountlug.wire.Fields;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Gives a leader the live jobs: reads all records once at the start of its term and watches them from then on. It also
 * receives the cancellations that controllers acknowledge to users, and determines the time up to which every
 * acknowledged cancellation is known to this term. The renewal of worker leases depends on that time.
 */
final class JobRecordWatch {
    private static final Logger LOG = LoggerFactory.getLogger(JobRecordWatch.class);

    /** Receives the records that are read; implemented by the leader's term. */
    interface Listener {
        /** Whether the job is known to the term, so that its record goes to {@link #updateJob}. */
        boolean isKnownJob(String id);

        /** Adds a job with all its record parts, as read at the start of the term or submitted since. */
        void addJob(Job job, double nowS);

        /** Applies the record of a known job as read or watched at a revision, which need not be a newer one. */
        void updateJob(String id, Map<String, Object> record, long revision, double nowS);

        /** Adds a key that nothing refers to any more, so that it is deleted. */
        void addOrphanedKey(String key);

        /** Restores the reservations that an earlier leader stored, and the revisions of their keys, both by job. */
        void restoreReservations(Map<String, List<Reservation>> byJob, Map<String, Long> revisions);

        /** Restores the first shard of the image index that an earlier leader stored. */
        void restoreImageIndex(Map<String, Object> byMachine);

        /** Called once when everything has been read. */
        void onLoaded();

        /** Applies a cancellation of a known job that was acknowledged to a user. */
        void cancelJob(String id);

        /** Whether the term has ended, so that nothing more may be applied to it. */
        boolean hasEnded();
    }

    private final StateClient state;
    private final DoubleSupplier clockS;
    private final BiConsumer<Runnable, Integer> timer;
    private final Listener listener;
    /** Jobs as read at the start of the term, until their record parts are read too; null from then on. */
    private Map<String, Job> loadingJobs = new LinkedHashMap<>();

    /** Jobs with a record or a record part that could not be decoded; none of their tasks may be started. */
    private final Set<String> unreadableJobs = new HashSet<>();
    /**
     * Acknowledged cancellations of jobs that this term does not know yet, with the monotonic seconds at which they
     * were received. A cancellation may arrive while older records are still being loaded. It is kept until its job is
     * known, or until a response of the state service to a later request shows that the job has finished.
     */
    private final Map<String, Double> pendingCancellations = new HashMap<>();

    private boolean loaded;
    private long watchRevision;
    /**
     * Monotonic seconds up to which all cancellations are known. Invariant: once loaded, every cancellation that any
     * controller acknowledged to a user before this time has been applied to the jobs of this term, or is kept in
     * {@link #pendingCancellations}. Only two events advance it:
     * <ul>
     * <li>A response of the state service, after its records have been applied, advances it to the time at which the
     * request was sent and no later, however late the response arrives: a watch that stayed open during an outage of
     * the state service proves nothing about that time. Status 410 (the watch cannot continue from its revision) and
     * reloading do not advance it.</li>
     * <li>Responses of all peers without a gap ({@link org.mountlug.peer.PeerView#cancellationsKnownUntilS}) advance it
     * after the cancellations that each of them lists went through {@link #recordCancellation}.</li>
     * </ul>
     * It is not valid until everything is loaded, see {@link #cancellationsKnownUntilS}.
     */
    private double knownUntilS = Double.NEGATIVE_INFINITY;

    JobRecordWatch(StateClient state, DoubleSupplier clockS, BiConsumer<Runnable, Integer> timer, Listener listener) {
        this.state = state;
        this.clockS = clockS;
        this.timer = timer;
        this.listener = listener;
    }

    void start() {
        loadRecords(null, true);
    }

    /**
     * Returns the monotonic seconds up to which every acknowledged cancellation is known and applied; negative infinity
     * until everything is loaded.
     */
    double cancellationsKnownUntilS() {
        return loaded ? knownUntilS : Double.NEGATIVE_INFINITY;
    }

    /**
     * Records that the cancellations listed by the peers cover the time up to {@code untilS} without a gap, and that
     * all of them were passed to {@link #recordCancellation}.
     */
    void confirmCancellationsUntil(double untilS) {
        knownUntilS = Math.max(knownUntilS, untilS);
    }

    /**
     * Records that a cancellation of this job was acknowledged to a user. The job's record contains the cancellation as
     * well, but the state service may be unavailable now.
     */
    void recordCancellation(String id) {
        if (loaded && listener.isKnownJob(id)) {
            listener.cancelJob(id);
        } else {
            pendingCancellations.put(id, clockS.getAsDouble());
        }
    }

    /** Returns the number of cancellations whose job is not known yet. */
    int pendingCancellationCount() {
        return pendingCancellations.size();
    }

    private void runLater(Runnable action, int delayMs) {
        timer.accept(
                () -> {
                    if (!listener.hasEnded()) {
                        action.run();
                    }
                },
                delayMs);
    }

    // ---- loading ----------------------------------------------------------------------------------------------

    private void loadRecords(String afterKey, boolean firstPage) {
        double requestedS = clockS.getAsDouble();
        state.list(StateKeys.LIVE_JOBS, afterKey, response -> {
            if (listener.hasEnded()) {
                return;
            }
            if (response.status() != 200) {
                LOG.debug("loading the records: the state service responded with status {}", response.status());
                runLater(() -> loadRecords(afterKey, firstPage), 300);
                return;
            }
            if (firstPage) {
                watchRevision = Fields.getLong(response.body(), "epoch", 0);
                knownUntilS = requestedS; // the other pages are read later, so they are no older
            }
            String lastKey = applyPage(response.body());
            if (Fields.getBoolean(response.body(), "hasNext") && lastKey != null) {
                loadRecords(lastKey, false);
            } else {
                loadParts(null);
            }
        });
    }

    /** Applies a page of records; returns its last key, or null if it is empty or the term has ended. */
    private String applyPage(Map<String, Object> body) {
        double nowS = clockS.getAsDouble();
        String lastKey = null;
        for (Object element : Fields.getList(body, "rows")) {
            if (listener.hasEnded()) {
                return null;
            }
            Map<String, Object> row = Fields.asMap(element);
            lastKey = Fields.getString(row, "k");
            applyRecord(
                    lastKey.substring(StateKeys.LIVE_JOBS.length()),
                    Fields.asMap(row.get("v")),
                    Fields.getLong(row, "stamp", 0),
                    nowS);
        }
        return lastKey;
    }

    /**
     * Reads the record parts of the jobs just read. They cannot have changed since: only a leader writes parts, and no
     * write of an earlier leader succeeds once this term has begun.
     */
    private void loadParts(String afterKey) {
        state.list(StateKeys.RECORD_PARTS, afterKey, response -> {
            if (listener.hasEnded()) {
                return;
            }
            if (response.status() != 200) {
                runLater(() -> loadParts(afterKey), 300);
                return;
            }
            double nowS = clockS.getAsDouble();
            String lastKey = null;
            for (Object element : Fields.getList(response.body(), "rows")) {
                Map<String, Object> row = Fields.asMap(element);
                lastKey = Fields.getString(row, "k");
                loadPart(lastKey, Fields.asMap(row.get("v")), nowS);
            }
            if (Fields.getBoolean(response.body(), "hasNext") && lastKey != null) {
                loadParts(lastKey);
                return;
            }
            List<Job> loadedJobs = List.copyOf(loadingJobs.values());
            loadingJobs = null;
            for (Job job : loadedJobs) {
                addJob(job, nowS);
            }
            loadReservations();
        });
    }

    private void loadPart(String key, Map<String, Object> record, double nowS) {
        int slash = key.lastIndexOf('/');
        String id = key.substring(StateKeys.RECORD_PARTS.length(), slash);
        Job job = loadingJobs.get(id);
        if (job == null) {
            if (!unreadableJobs.contains(id)) {
                listener.addOrphanedKey(key); // its job has finished, and ids are never reused
            }
            return;
        }
        try {
            int partNumber = Integer.parseInt(key.substring(slash + 1));
            if (!job.isSplit()) {
                job.orphanedParts.set(partNumber); // staged by a leader that ended before it split the record
            } else if (partNumber < job.recordCount()) {
                JobRecordCodec.readPart(job, partNumber, record, nowS);
            }
        } catch (RuntimeException e) {
            LOG.error("record part {} cannot be decoded: {}", key, e.toString());
            // It is not known which machines run the part's tasks, so no task of the job may be started.
            loadingJobs.remove(id);
            unreadableJobs.add(id);
        }
    }

    private void addJob(Job job, double nowS) {
        String id = job.spec.id();
        listener.addJob(job, nowS);
        if (pendingCancellations.remove(id) != null && listener.isKnownJob(id)) {
            listener.cancelJob(id);
        }
    }

    private void loadReservations() {
        state.list(StateKeys.RESERVATIONS, null, response -> {
            if (listener.hasEnded()) {
                return;
            }
            if (response.status() != 200) {
                runLater(this::loadReservations, 300);
                return;
            }
            parseReservations(response.body(), listener::restoreReservations);
            loadImageIndex();
        });
    }

    /** Passes on the reservations of a listing, and the revisions of their keys, both by job. */
    static void parseReservations(
            Map<String, Object> body, BiConsumer<Map<String, List<Reservation>>, Map<String, Long>> consumer) {
        Map<String, List<Reservation>> byJob = new HashMap<>();
        Map<String, Long> revisions = new HashMap<>();
        for (Object element : Fields.getList(body, "rows")) {
            Map<String, Object> row = Fields.asMap(element);
            String id = Fields.getString(row, "k").substring(StateKeys.RESERVATIONS.length());
            List<Reservation> reservations;
            try {
                reservations = ReservationCodec.read(Fields.asMap(row.get("v")));
            } catch (RuntimeException e) {
                LOG.error("the reservations of job {} cannot be decoded: {}", id, e.toString());
                reservations = List.of(); // dropped with the next write of reservations
            }
            byJob.put(id, reservations);
            revisions.put(id, Fields.getLong(row, "stamp", 0));
        }
        consumer.accept(byJob, revisions);
    }

    /** Reads the image index of the last leader, without which every change of leader would cost image fetches. */
    private void loadImageIndex() {
        state.get(StateKeys.IMAGE_INDEX, Constants.STATE_TIMEOUT_MS, response -> {
            if (listener.hasEnded()) {
                return;
            }
            if (response.status() == 200) {
                listener.restoreImageIndex(Fields.asMap(response.body().get("v")));
            }
            finishLoading();
        });
    }

    private void finishLoading() {
        loaded = true;
        for (String id : List.copyOf(pendingCancellations.keySet())) {
            if (listener.isKnownJob(id)) {
                pendingCancellations.remove(id);
                listener.cancelJob(id);
            }
        }
        listener.onLoaded();
        watch();
    }

    // ---- watching ---------------------------------------------------------------------------------------------

    private void watch() {
        double requestedS = clockS.getAsDouble();
        state.watch(StateKeys.LIVE_JOBS, watchRevision, 2000, response -> {
            if (listener.hasEnded()) {
                return;
            }
            double nowS = clockS.getAsDouble();
            if (response.status() == 200) {
                for (Object element : Fields.getList(response.body(), "news")) {
                    if (listener.hasEnded()) {
                        return;
                    }
                    Map<String, Object> change = Fields.asMap(element);
                    String key = Fields.getString(change, "put");
                    if (key != null) {
                        applyRecord(
                                key.substring(StateKeys.LIVE_JOBS.length()),
                                Fields.asMap(change.get("v")),
                                Fields.getLong(change, "stamp", 0),
                                nowS);
                    }
                }
                watchRevision = Math.max(watchRevision, Fields.getLong(response.body(), "epoch", watchRevision));
                knownUntilS = Math.max(knownUntilS, requestedS);
                // An acknowledged cancellation is durable, so by now the watch would have shown these jobs if they were
                // still live.
                pendingCancellations.values().removeIf(receivedS -> receivedS < requestedS);
                runLater(this::watch, Constants.WATCH_PAUSE_MS);
            } else if (response.status() == 410) {
                reload(null, true);
            } else {
                runLater(this::watch, 500);
            }
        });
    }

    private void reload(String afterKey, boolean firstPage) {
        state.list(StateKeys.LIVE_JOBS, afterKey, response -> {
            if (listener.hasEnded()) {
                return;
            }
            if (response.status() != 200) {
                runLater(() -> reload(afterKey, firstPage), 500);
                return;
            }
            if (firstPage) {
                watchRevision = Fields.getLong(response.body(), "epoch", 0);
            }
            String lastKey = applyPage(response.body());
            if (Fields.getBoolean(response.body(), "hasNext") && lastKey != null) {
                reload(lastKey, false);
            } else {
                watch();
            }
        });
    }

    /** Applies a record as stored: a new job, this term's own write, or a record changed by a user's cancellation. */
    void applyRecord(String id, Map<String, Object> record, long revision, double nowS) {
        if (listener.isKnownJob(id)) {
            listener.updateJob(id, record, revision, nowS);
            return;
        }
        Job job;
        try {
            job = JobRecordCodec.read(id, record, revision, nowS);
        } catch (RuntimeException e) {
            // One record that cannot be decoded must not keep the other jobs from being scheduled.
            LOG.error("the record of job {} cannot be decoded: {}", id, e.toString());
            unreadableJobs.add(id);
            return;
        }
        if (loadingJobs != null) {
            loadingJobs.put(id, job);
        }
        // After loading, an unknown job with record parts has finished in this term: only a late response of the watch
        // shows this term's own earlier write.
        else if (!job.isSplit() && !unreadableJobs.contains(id)) {
            addJob(job, nowS);
        }
    }
}
