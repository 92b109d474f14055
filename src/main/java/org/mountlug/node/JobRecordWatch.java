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
 * How a leader comes to know the live work: all records are read once at the start of its term and watched from then on,
 * and cancellations are also heard of from the nodes that tell users of them. It answers the one question on which the
 * renewal of workers' leases rests: up to when is every cancellation that a user was told of known to this term?
 */
final class JobRecordWatch {
    private static final Logger LOG = LoggerFactory.getLogger(JobRecordWatch.class);

    /** What the term does with what is read. */
    interface Listener {
        /** Whether the job is known, so that its record goes to {@link #updateJob}. */
        boolean isKnownJob(String id);

        /** A job with all its parts, as read at the start or submitted since. */
        void addJob(Job j, double nowS);

        /** A newer look at the record of a known job. */
        void updateJob(String id, Map<String, Object> v, long stamp, double nowS);

        /** A key that nothing needs any more. */
        void addOrphanedKey(String key);

        /** Reservations as an earlier leader left them, by key, and the revisions of their keys. */
        void restoreReservations(Map<String, List<Reservation>> byJob, Map<String, Long> stamps);

        /** The first note of which machines have which images, as an earlier leader left it. */
        void restoreImageIndex(Map<String, Object> byMachine);

        /** Everything has been read. */
        void onLoaded();

        /** A user was told that this job, known to the term, is cancelled. */
        void cancelJob(String id);

        boolean hasEnded();
    }

    private final StateClient state;
    private final DoubleSupplier clockS;
    private final BiConsumer<Runnable, Integer> timer;
    private final Listener term;
    /** Jobs as read at the start of the term, until their parts are read too; null from then on. */
    private Map<String, Job> loading = new LinkedHashMap<>();

    private final Set<String> unreadable = new HashSet<>();
    /**
     * Jobs of which a user was told that they are cancelled and which this term did not know yet, and when we heard of it.
     * A notice may come while records read before it are still being loaded, so it is kept until there is something to
     * apply it to, or until an answer of the state service to a later question shows that the job is over.
     */
    private final Map<String, Double> noticed = new HashMap<>();

    private boolean loaded;
    private long watchFrom;
    /**
     * Steady seconds. The invariant: once loaded, every cancellation that any node told a user of before this time has
     * been applied to the jobs of this term, or is kept in {@link #told}. It is moved on by two things only.
     * <ul>
     * <li>An answer of the state service, to the time at which it was asked for and no later, however long it was on its
     * way: a watch that stayed open through a refusal says nothing of that time. It counts after what it brings has
     * been applied. 410 and reloading move it by nothing.</li>
     * <li>The word of all peers without a gap ({@link org.mountlug.peer.PeerView#cancellationsKnownUntilS}), each of whose lists went
     * through {@link #recordCancellation} first.</li>
     * </ul>
     * Before everything is loaded nothing is known at all, see {@link #cancellationsKnownUntilS}.
     */
    private double viewS = Double.NEGATIVE_INFINITY;

    JobRecordWatch(StateClient state, DoubleSupplier clockS, BiConsumer<Runnable, Integer> timer, Listener term) {
        this.state = state;
        this.clockS = clockS;
        this.timer = timer;
        this.term = term;
    }

    void start() {
        load(null, true);
    }

    /** Up to when every cancellation that a user was told of is known and applied; never, while records are read. */
    double cancellationsKnownUntilS() {
        return loaded ? viewS : Double.NEGATIVE_INFINITY;
    }

    /** The peers' lists, all of which have come through {@link #recordCancellation}, reach up to this time without a gap. */
    void confirmCancellationsUntil(double untilS) {
        viewS = Math.max(viewS, untilS);
    }

    /** A user was told that this job is cancelled; the record says so too, but may not be readable now. */
    void recordCancellation(String id) {
        if (loaded && term.isKnownJob(id)) {
            term.cancelJob(id);
        } else {
            noticed.put(id, clockS.getAsDouble());
        }
    }

    /** Notices that wait for something to be applied to. */
    int pendingCancellationCount() {
        return noticed.size();
    }

    private void later(Runnable r, int ms) {
        timer.accept(
                () -> {
                    if (!term.hasEnded()) {
                        r.run();
                    }
                },
                ms);
    }

    // ---- loading ----------------------------------------------------------------------------------------------

    private void load(String after, boolean first) {
        double asked = clockS.getAsDouble();
        state.list(StateKeys.LIVE_JOBS, after, a -> {
            if (term.hasEnded()) {
                return;
            }
            if (a.status() != 200) {
                LOG.debug("loading: state service answered {}", a.status());
                later(() -> load(after, first), 300);
                return;
            }
            if (first) {
                watchFrom = Fields.getLong(a.body(), "epoch", 0);
                viewS = asked; // what is read of the other pages is no older
            }
            String last = rows(a.body());
            if (Fields.getBoolean(a.body(), "hasNext") && last != null) {
                load(last, false);
            } else {
                loadParts(null);
            }
        });
    }

    /** Takes in a page of records; the last key, or null if there is none. */
    private String rows(Map<String, Object> body) {
        double now = clockS.getAsDouble();
        String last = null;
        for (Object o : Fields.getList(body, "rows")) {
            if (term.hasEnded()) {
                return null;
            }
            Map<String, Object> r = Fields.asMap(o);
            last = Fields.getString(r, "k");
            applyRecord(
                    last.substring(StateKeys.LIVE_JOBS.length()),
                    Fields.asMap(r.get("v")),
                    Fields.getLong(r, "stamp", 0),
                    now);
        }
        return last;
    }

    /** The parts of the jobs just read. Only a leader writes them, and since we lead no older one's write succeeds. */
    private void loadParts(String after) {
        state.list(StateKeys.RECORD_PARTS, after, a -> {
            if (term.hasEnded()) {
                return;
            }
            if (a.status() != 200) {
                later(() -> loadParts(after), 300);
                return;
            }
            double now = clockS.getAsDouble();
            String last = null;
            for (Object o : Fields.getList(a.body(), "rows")) {
                Map<String, Object> r = Fields.asMap(o);
                last = Fields.getString(r, "k");
                part(last, Fields.asMap(r.get("v")), now);
            }
            if (Fields.getBoolean(a.body(), "hasNext") && last != null) {
                loadParts(last);
                return;
            }
            List<Job> all = List.copyOf(loading.values());
            loading = null;
            for (Job j : all) {
                adopt(j, now);
            }
            loadReservations();
        });
    }

    private void part(String key, Map<String, Object> v, double now) {
        int slash = key.lastIndexOf('/');
        String id = key.substring(StateKeys.RECORD_PARTS.length(), slash);
        Job j = loading.get(id);
        if (j == null) {
            if (!unreadable.contains(id)) {
                term.addOrphanedKey(key); // its job is over, and ids never come back
            }
            return;
        }
        try {
            int n = Integer.parseInt(key.substring(slash + 1));
            if (!j.isSplit()) {
                j.orphanedParts.set(n); // written ahead by a leader that ended before it mattered
            } else if (n < j.recordCount()) {
                JobRecordCodec.readPart(j, n, v, now);
            }
        } catch (RuntimeException e) {
            LOG.error("part {} cannot be read: {}", key, e.toString());
            // Where its tasks are is not known, so none of the job may be started.
            loading.remove(id);
            unreadable.add(id);
        }
    }

    private void adopt(Job j, double now) {
        String id = j.spec.id();
        term.addJob(j, now);
        if (noticed.remove(id) != null && term.isKnownJob(id)) {
            term.cancelJob(id);
        }
    }

    private void loadReservations() {
        state.list(StateKeys.RESERVATIONS, null, a -> {
            if (term.hasEnded()) {
                return;
            }
            if (a.status() != 200) {
                later(this::loadReservations, 300);
                return;
            }
            parseReservations(a.body(), term::restoreReservations);
            loadImages();
        });
    }

    /** Hands on the stored reservations of a listing, by job, and the revisions of their keys. */
    static void parseReservations(
            Map<String, Object> body, BiConsumer<Map<String, List<Reservation>>, Map<String, Long>> consumer) {
        Map<String, List<Reservation>> byJob = new HashMap<>();
        Map<String, Long> stamps = new HashMap<>();
        for (Object o : Fields.getList(body, "rows")) {
            Map<String, Object> r = Fields.asMap(o);
            String id = Fields.getString(r, "k").substring(StateKeys.RESERVATIONS.length());
            List<Reservation> l;
            try {
                l = ReservationCodec.read(Fields.asMap(r.get("v")));
            } catch (RuntimeException e) {
                LOG.error("reservation of {} cannot be read: {}", id, e.toString());
                l = List.of(); // forgotten with the next change of reservations
            }
            byJob.put(id, l);
            stamps.put(id, Fields.getLong(r, "stamp", 0));
        }
        consumer.accept(byJob, stamps);
    }

    /** What the last leader knew of machines' images; without it every change of leader costs fetches. */
    private void loadImages() {
        state.get(StateKeys.IMAGE_INDEX, Constants.STATE_TIMEOUT_MS, a -> {
            if (term.hasEnded()) {
                return;
            }
            if (a.status() == 200) {
                term.restoreImageIndex(Fields.asMap(a.body().get("v")));
            }
            finishLoading();
        });
    }

    private void finishLoading() {
        loaded = true;
        for (String id : List.copyOf(noticed.keySet())) {
            if (term.isKnownJob(id)) {
                noticed.remove(id);
                term.cancelJob(id);
            }
        }
        term.onLoaded();
        watch();
    }

    // ---- watching ---------------------------------------------------------------------------------------------

    private void watch() {
        double asked = clockS.getAsDouble();
        state.watch(StateKeys.LIVE_JOBS, watchFrom, 2000, a -> {
            if (term.hasEnded()) {
                return;
            }
            double now = clockS.getAsDouble();
            if (a.status() == 200) {
                for (Object o : Fields.getList(a.body(), "news")) {
                    if (term.hasEnded()) {
                        return;
                    }
                    Map<String, Object> e = Fields.asMap(o);
                    String put = Fields.getString(e, "put");
                    if (put != null) {
                        applyRecord(
                                put.substring(StateKeys.LIVE_JOBS.length()),
                                Fields.asMap(e.get("v")),
                                Fields.getLong(e, "stamp", 0),
                                now);
                    }
                }
                watchFrom = Math.max(watchFrom, Fields.getLong(a.body(), "epoch", watchFrom));
                viewS = Math.max(viewS, asked);
                // What was told is durable, so these would have been shown by now, were they not over.
                noticed.values().removeIf(heardS -> heardS < asked);
                later(this::watch, Constants.WATCH_PAUSE_MS);
            } else if (a.status() == 410) {
                reload(null, true);
            } else {
                later(this::watch, 500);
            }
        });
    }

    private void reload(String after, boolean first) {
        state.list(StateKeys.LIVE_JOBS, after, a -> {
            if (term.hasEnded()) {
                return;
            }
            if (a.status() != 200) {
                later(() -> reload(after, first), 500);
                return;
            }
            if (first) {
                watchFrom = Fields.getLong(a.body(), "epoch", 0);
            }
            String last = rows(a.body());
            if (Fields.getBoolean(a.body(), "hasNext") && last != null) {
                reload(last, false);
            } else {
                watch();
            }
        });
    }

    /** A record as the state service shows it: new, the term's own write, or one that a user's abort has changed. */
    void applyRecord(String id, Map<String, Object> v, long stamp, double now) {
        if (term.isKnownJob(id)) {
            term.updateJob(id, v, stamp, now);
            return;
        }
        Job n;
        try {
            n = JobRecordCodec.read(id, v, stamp, now);
        } catch (RuntimeException e) {
            // One record that nobody can read must not keep the others from being served.
            LOG.error("record of {} cannot be read: {}", id, e.toString());
            unreadable.add(id);
            return;
        }
        if (loading != null) {
            loading.put(id, n);
        }
        // Later, a job with parts that we do not know is one that is over for us: a late word of our own writes.
        else if (!n.isSplit() && !unreadable.contains(id)) {
            adopt(n, now);
        }
    }
}
