package org.mountlug.node;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.mountlug.Constants;
import org.mountlug.core.model.Job;
import org.mountlug.store.JobRecordCodec;
import org.mountlug.store.StateClient;
import org.mountlug.store.StateKeys;
import org.mountlug.store.TokenBucket;
import org.mountlug.store.Transaction;
import org.mountlug.wire.Fields;
import org.mountlug.wire.Json;
import org.mountlug.wire.PooledHttpClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Makes the leader's decisions durable: one transaction on its way at a time, of the jobs that changed, in the order in which
 * somebody waits for them. A transaction without an answer is sent again unchanged until there is a definite one.
 */
final class RecordWriter {
    private static final Logger LOG = LoggerFactory.getLogger(RecordWriter.class);

    /** A job in a transaction: which of its parts, as of which version; {@code own} false if only parts written ahead. */
    private record Item(Job job, boolean over, boolean done, boolean own, int[] parts, long version, String writeId) {}

    /** A transaction that is being put together. */
    private static final class Draft {
        final Transaction change;
        final int room;
        final List<Item> items = new ArrayList<>();
        int used;
        int bytes;

        Draft(Transaction change, int room) {
            this.change = change;
            this.room = room;
        }

        void put(String key, Map<String, Object> value) {
            change.put(key, value);
            bytes += Json.length(value) + Constants.WRITE_OVERHEAD_BYTES;
            used++;
        }

        boolean full() {
            return used >= room || bytes > Constants.MAX_TXN_BYTES;
        }
    }

    /** Told when a job has moved to the finished ones and its outcome is known. */
    interface FinishedJobListener {
        void onJobFinished(Job job, boolean done);
    }

    private final LeaderTerm term;
    private final StateClient state;
    private final TokenBucket writes;
    private final RecordSplitter layout;
    private final ReservationWriter reservations;
    private final JobRecordWatch records;
    private final FinishedJobListener finished;

    /** Keys that nothing needs any more, deleted when there is room for it. */
    private final ArrayDeque<String> orphans = new ArrayDeque<>();
    /** Keys of {@link #orphans} in the transaction on its way. */
    private int orphansInFlight;
    /** How many transactions to come hold one job each, to find the one that the state service refuses. */
    private int oneByOne;
    /** By job, until when it is not written, as a change of it was refused for good. */
    private final Map<String, Double> refusedUntil = new HashMap<>();

    private List<Item> inFlight;
    private Transaction change;
    private boolean waiting;
    /** Whether a copy of the transaction on its way may have been executed or yet be. */
    private boolean unknown;

    private double retryAtS;
    private double nextFlushS;
    private long writeCounter;

    RecordWriter(
            LeaderTerm term,
            TokenBucket writes,
            RecordSplitter layout,
            ReservationWriter reservations,
            JobRecordWatch records,
            FinishedJobListener finished) {
        this.term = term;
        this.state = term.environment.state();
        this.writes = writes;
        this.layout = layout;
        this.reservations = reservations;
        this.records = records;
        this.finished = finished;
    }

    /** A key of an earlier leader that nothing needs any more. */
    void addOrphanedKey(String key) {
        orphans.add(key);
    }

    /** The next flush waits for nothing. */
    void requestImmediateFlush() {
        nextFlushS = 0;
    }

    /** Writes what has changed, whenever it is time. */
    void tick(double nowS) {
        if (nowS >= nextFlushS) {
            nextFlushS = nowS + Constants.FLUSH_INTERVAL_MS / 1000.0;
            flush(nowS);
        }
    }

    /** The watch shows a record with this write's identity: our own on its way, whose answer may yet come or be lost. */
    void confirmWatchedWrite(Job job, String writeId, long stamp) {
        if (inFlight == null) {
            return;
        }
        for (Item item : inFlight) {
            if (item.job == job && item.own && item.writeId.equals(writeId)) {
                persisted(item, stamp);
            }
        }
    }

    // ---- putting a transaction together -------------------------------------------------------------------------

    private void flush(double nowS) {
        if (waiting || nowS < retryAtS) {
            return;
        }
        if (change != null) {
            send();
            return;
        }
        if (!term.isLeaseHeld(nowS)) {
            return;
        }
        int txnOps = term.environment.settings().txnOps();
        int room = (int) Math.min(txnOps, Math.floor(writes.available(nowS) + 1e-9));
        if (room < 1) {
            return;
        }
        Draft draft = new Draft(term.newFencedTransaction(), room);
        if (!fill(draft, txnOps, nowS) || draft.used == 0) {
            return;
        }
        writes.tryAcquire(nowS, draft.used);
        inFlight = draft.items;
        change = draft.change;
        unknown = false;
        send();
    }

    /** Puts in what there is room for; false if a job must wait until the budget covers it. */
    private boolean fill(Draft draft, int txnOps, double nowS) {
        List<Job> dirty = dirty(nowS);
        boolean alone = oneByOne > 0;
        if (alone && !dirty.isEmpty()) {
            reservations.clearInFlight();
        } else {
            draft.used = reservations.addChangesTo(draft.change, draft.room, nowS);
        }
        for (Job job : dirty) {
            // At least one part with the job's own record, or a job of many parts would be put off for ever.
            int cost = job.isFinished() || job.partsToWrite(1).length > 0 ? 2 : 1;
            if (draft.used + cost > draft.room) {
                if (draft.used > 0) {
                    break;
                }
                if (txnOps >= cost) {
                    return false;
                }
            }
            add(draft, job, nowS);
            if (alone || draft.full()) {
                break;
            }
        }
        if (alone) {
            oneByOne--;
        }
        addOrphans(draft, alone);
        return true;
    }

    /** Jobs to write, those first that somebody waits for. */
    private List<Job> dirty(double nowS) {
        List<Job> dirty = new ArrayList<>();
        for (Job job : term.cluster.jobs.values()) {
            if (job.isFinished() && !job.isDirty()) {
                job.markChanged(nowS, true);
            }
            if (nowS < refusedUntil.getOrDefault(job.spec.id(), 0.0)) {
                continue;
            }
            if (job.isDirty() && (job.writeUrgent || nowS - job.dirtySinceS > Constants.LAZY_FLUSH_DELAY_MS / 1000.0)) {
                dirty.add(job);
            }
        }
        dirty.sort(Comparator.comparing((Job job) -> !job.spec.isService())
                .thenComparing(job -> !job.isFinished())
                .thenComparing(job -> !job.writeUrgent)
                .thenComparingDouble(job -> job.dirtySinceS));
        return dirty;
    }

    private void add(Draft draft, Job job, double nowS) {
        String id = job.spec.id();
        String writeId = term.cluster.token() + "." + ++writeCounter;
        draft.change.requireRevision(StateKeys.LIVE_JOBS + id, job.revision);
        if (job.isFinished()) {
            draft.change.delete(StateKeys.LIVE_JOBS + id);
            draft.change.put(StateKeys.FINAL_RECORDS + id, JobRecordCodec.finalRecord(job.isDone(), job.spec.tasks()));
            draft.used += 2;
            draft.items.add(new Item(job, true, job.isDone(), true, new int[0], job.version, writeId));
            return;
        }
        if (layout.mustSplit(job)) {
            layout.split(job, nowS);
        }
        int left = draft.room - draft.used;
        int[] all = job.partsToWrite(left + 1);
        // The record that says that there are parts is written last: until then the old one, which nothing replaces,
        // holds all that is durable, and what is written ahead counts for nothing.
        boolean own = !job.isSplitPending() || all.length < left;
        int[] some = Arrays.copyOf(all, Math.min(all.length, left - (own ? 1 : 0)));
        if (own) {
            draft.put(StateKeys.LIVE_JOBS + id, JobRecordCodec.write(job, writeId));
        }
        for (int part : some) {
            draft.put(JobRecordCodec.partKey(id, part), JobRecordCodec.writePart(job, part));
        }
        draft.items.add(new Item(job, false, false, own, some, job.version, writeId));
    }

    private void addOrphans(Draft draft, boolean alone) {
        orphansInFlight = 0;
        for (String key : orphans) {
            if (alone || draft.used >= draft.room || orphansInFlight >= Constants.MAX_ORPHANED_KEYS_PER_TXN) {
                break;
            }
            draft.change.delete(key);
            orphansInFlight++;
            draft.used++;
        }
    }

    // ---- what becomes of it -------------------------------------------------------------------------------------

    private void send() {
        waiting = true;
        state.commit(change, answer -> {
            waiting = false;
            if (!term.hasEnded()) {
                answered(answer);
            }
        });
    }

    private void answered(PooledHttpClient.Response answer) {
        double nowS = term.nowS();
        switch (answer.status()) {
            case 200 -> stored(Fields.getLong(answer.body(), "epoch", 0));
            case 409 -> conditionFailed(Fields.getList(answer.body(), "failed"), nowS);
            case 400 -> {
                LOG.error("state service refused a change of {} jobs: {}", inFlight.size(), answer.body());
                refused(nowS);
                if (unknown) { // an earlier copy may have been carried out before the limits were lowered
                    waiting = true;
                    readBack(new ArrayDeque<>(inFlight));
                } else {
                    settled();
                }
            }
            case 429, 503 -> {
                if (!unknown) {
                    settled(); // certainly not executed; what it held is still dirty
                }
                retryAtS = nowS + Constants.UNSERVED_TXN_RETRY_S;
            }
            default -> {
                // It may have been executed or yet be: only the same change again gives a definite answer.
                if (answer.requestSent()) {
                    unknown = true;
                } else if (!unknown) {
                    settled();
                }
                retryAtS = nowS + Constants.UNANSWERED_TXN_RETRY_S;
            }
        }
    }

    private void stored(long epoch) {
        for (Item item : inFlight) {
            // The watch may have shown this write already.
            if (term.cluster.jobs.get(item.job.spec.id()) == item.job) {
                persisted(item, epoch);
            }
        }
        reservations.recordStored(epoch);
        for (int i = 0; i < orphansInFlight; i++) {
            orphans.poll();
        }
        settled();
        nextFlushS = 0;
    }

    private void persisted(Item item, long stamp) {
        Job job = item.job;
        if (item.over) {
            over(job, true, item.done, stamp);
            return;
        }
        if (!item.own) {
            job.markStaged(item.parts, item.version);
            return;
        }
        job.revision = Math.max(job.revision, stamp);
        job.writeId = item.writeId;
        job.markPersisted(item.parts, item.version);
        if (job.isDirty()) {
            job.dirtySinceS = term.nowS();
        } else {
            job.dirtySinceS = Double.NaN;
            job.writeUrgent = false;
        }
    }

    /** The job has moved to the finished ones; {@code known} whether its outcome is. */
    private void over(Job job, boolean known, boolean done, long stamp) {
        String id = job.spec.id();
        for (int part = 1; part < job.recordCount(); part++) {
            orphans.add(JobRecordCodec.partKey(id, part));
        }
        job.orphanedParts.stream().forEach(part -> orphans.add(JobRecordCodec.partKey(id, part)));
        term.cluster.removeFinishedJob(job, stamp);
        if (known) {
            finished.onJobFinished(job, done);
        }
    }

    private void settled() {
        inFlight = null;
        change = null;
        reservations.clearInFlight();
        unknown = false;
    }

    /**
     * A change that the state service will never take: alone, its job is left for a while, so that it keeps no other
     * from being written; of several, each is tried by itself. Only the leader key and the watch tell of a new leader.
     */
    private void refused(double nowS) {
        retryAtS = nowS + Constants.REFUSED_TXN_PAUSE_S;
        boolean more = reservations.isWriteInFlight() || orphansInFlight > 0;
        if (inFlight.size() > 1 || !inFlight.isEmpty() && more) {
            oneByOne = Math.max(oneByOne, inFlight.size());
        } else if (inFlight.size() == 1) {
            Job job = inFlight.get(0).job;
            refusedUntil.put(job.spec.id(), nowS + Constants.REFUSED_JOB_WRITE_PAUSE_S);
            if (!unknown) {
                term.cluster.dropUnpersistedPlacements(job, nowS + Constants.REFUSED_JOB_WRITE_PAUSE_S);
            }
        } else {
            reservations.recordRefusal(nowS);
            orphans.clear(); // found again by the next leader
        }
    }

    private void conditionFailed(List<Object> failed, double nowS) {
        if (failed.contains(StateKeys.LEADER)) {
            term.depose("the leader key has changed");
            return;
        }
        waiting = true;
        ArrayDeque<Item> left = new ArrayDeque<>(inFlight);
        if (reservations.isWriteInFlight()) {
            retryAtS = nowS + Constants.STALE_RESERVATION_RETRY_S; // the watch shows the jobs' records meanwhile
            reservations.reload(() -> readBack(left));
        } else {
            readBack(left);
        }
    }

    /** A condition failed: each record tells whether our write is in it (an answer was lost) or a user's abort. */
    private void readBack(ArrayDeque<Item> left) {
        if (left.isEmpty()) {
            waiting = false;
            settled();
            return;
        }
        String id = left.peek().job.spec.id();
        state.get(StateKeys.LIVE_JOBS + id, Constants.STATE_TIMEOUT_MS, answer -> {
            if (term.hasEnded()) {
                return;
            }
            if (answer.status() == 200) {
                Map<String, Object> record = Fields.asMap(answer.body().get("v"));
                records.applyRecord(id, record, Fields.getLong(answer.body(), "stamp", 0), term.nowS());
                left.poll();
                readBack(left);
            } else if (answer.status() == 404) {
                readFinal(left);
            } else {
                term.runLater(() -> readBack(left), Constants.READ_BACK_RETRY_MS);
            }
        });
    }

    /**
     * The record is gone, so the job is over; how, only its finished record tells. It need not be our own write: if we
     * were not served for a while, another leader may have finished the job with an abort that we have not heard of.
     */
    private void readFinal(ArrayDeque<Item> left) {
        Job job = left.peek().job;
        String id = job.spec.id();
        state.get(StateKeys.FINAL_RECORDS + id, Constants.STATE_TIMEOUT_MS, answer -> {
            if (term.hasEnded()) {
                return;
            }
            boolean known = answer.status() == 200;
            if (!known && answer.status() != 404) {
                term.runLater(() -> readBack(left), Constants.READ_BACK_RETRY_MS);
                return;
            }
            if (!known) {
                LOG.error("record of {} is gone", id);
            }
            if (term.cluster.jobs.get(id) == job) {
                boolean done =
                        known && Fields.getBoolean(Fields.asMap(answer.body().get("v")), "done");
                over(job, known, done, Fields.getLong(answer.body(), known ? "stamp" : "epoch", job.revision));
            }
            left.poll();
            readBack(left);
        });
    }
}
