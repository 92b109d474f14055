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
import org.mountlug.store.Budget;
import org.mountlug.store.Change;
import org.mountlug.store.RecordCodec;
import org.mountlug.store.StateClient;
import org.mountlug.store.StateKeys;
import org.mountlug.wire.Fields;
import org.mountlug.wire.Http;
import org.mountlug.wire.Json;
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
        final Change change;
        final int room;
        final List<Item> items = new ArrayList<>();
        int used;
        int bytes;

        Draft(Change change, int room) {
            this.change = change;
            this.room = room;
        }

        void put(String key, Map<String, Object> value) {
            change.put(key, value);
            bytes += Json.length(value) + Constants.RECORD_KEY_BYTES;
            used++;
        }

        boolean full() {
            return used >= room || bytes > Constants.TXN_BYTES;
        }
    }

    /** Told when a job has moved to the finished ones and its outcome is known. */
    interface Finished {
        void finished(Job job, boolean done);
    }

    private final LeaderTerm term;
    private final StateClient state;
    private final Budget writes;
    private final RecordLayout layout;
    private final ReservationWriter reservations;
    private final LiveRecords records;
    private final Finished finished;

    /** Keys that nothing needs any more, deleted when there is room for it. */
    private final ArrayDeque<String> orphans = new ArrayDeque<>();
    /** Keys of {@link #orphans} in the transaction on its way. */
    private int orphansInFlight;
    /** How many transactions to come hold one job each, to find the one that the state service refuses. */
    private int oneByOne;
    /** By job, until when it is not written, as a change of it was refused for good. */
    private final Map<String, Double> refusedUntil = new HashMap<>();

    private List<Item> inFlight;
    private Change change;
    private boolean waiting;
    /** Whether a copy of the transaction on its way may have been executed or yet be. */
    private boolean unknown;

    private double retryAtS;
    private double nextFlushS;
    private long writeCounter;

    RecordWriter(
            LeaderTerm term,
            Budget writes,
            RecordLayout layout,
            ReservationWriter reservations,
            LiveRecords records,
            Finished finished) {
        this.term = term;
        this.state = term.environment.state();
        this.writes = writes;
        this.layout = layout;
        this.reservations = reservations;
        this.records = records;
        this.finished = finished;
    }

    /** A key of an earlier leader that nothing needs any more. */
    void orphan(String key) {
        orphans.add(key);
    }

    /** The next flush waits for nothing. */
    void hasten() {
        nextFlushS = 0;
    }

    /** Writes what has changed, whenever it is time. */
    void tick(double nowS) {
        if (nowS >= nextFlushS) {
            nextFlushS = nowS + Constants.FLUSH_MS / 1000.0;
            flush(nowS);
        }
    }

    /** The watch shows a record with this write's identity: our own on its way, whose answer may yet come or be lost. */
    void shown(Job job, String writeId, long stamp) {
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
        if (!term.proven(nowS)) {
            return;
        }
        int txnOps = term.environment.settings().txnOps();
        int room = (int) Math.min(txnOps, Math.floor(writes.level(nowS) + 1e-9));
        if (room < 1) {
            return;
        }
        Draft draft = new Draft(term.change(), room);
        if (!fill(draft, txnOps, nowS) || draft.used == 0) {
            return;
        }
        writes.take(nowS, draft.used);
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
            reservations.skip();
        } else {
            draft.used = reservations.add(draft.change, draft.room, nowS);
        }
        for (Job job : dirty) {
            // At least one part with the job's own record, or a job of many parts would be put off for ever.
            int cost = job.over() || job.partsToWrite(1).length > 0 ? 2 : 1;
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
            if (job.over() && !job.dirty()) {
                job.touch(nowS, true);
            }
            if (nowS < refusedUntil.getOrDefault(job.spec.id(), 0.0)) {
                continue;
            }
            if (job.dirty() && (job.urgent || nowS - job.dirtySinceS > Constants.LAZY_FLUSH_MS / 1000.0)) {
                dirty.add(job);
            }
        }
        dirty.sort(Comparator.comparing((Job job) -> !job.spec.service())
                .thenComparing(job -> !job.over())
                .thenComparing(job -> !job.urgent)
                .thenComparingDouble(job -> job.dirtySinceS));
        return dirty;
    }

    private void add(Draft draft, Job job, double nowS) {
        String id = job.spec.id();
        String writeId = term.cluster.token() + "." + ++writeCounter;
        draft.change.guard(StateKeys.LIVE + id, job.stamp);
        if (job.over()) {
            draft.change.delete(StateKeys.LIVE + id);
            draft.change.put(StateKeys.FINAL + id, RecordCodec.over(job.endsAsDone(), job.spec.tasks()));
            draft.used += 2;
            draft.items.add(new Item(job, true, job.endsAsDone(), true, new int[0], job.version, writeId));
            return;
        }
        if (layout.mustSplit(job)) {
            layout.split(job, nowS);
        }
        int left = draft.room - draft.used;
        int[] all = job.partsToWrite(left + 1);
        // The record that says that there are parts is written last: until then the old one, which nothing replaces,
        // holds all that is durable, and what is written ahead counts for nothing.
        boolean own = !job.switching() || all.length < left;
        int[] some = Arrays.copyOf(all, Math.min(all.length, left - (own ? 1 : 0)));
        if (own) {
            draft.put(StateKeys.LIVE + id, RecordCodec.job(job, writeId));
        }
        for (int part : some) {
            draft.put(RecordCodec.partKey(id, part), RecordCodec.part(job, part));
        }
        draft.items.add(new Item(job, false, false, own, some, job.version, writeId));
    }

    private void addOrphans(Draft draft, boolean alone) {
        orphansInFlight = 0;
        for (String key : orphans) {
            if (alone || draft.used >= draft.room || orphansInFlight >= Constants.ORPHANS_MOST) {
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
            if (!term.ended()) {
                answered(answer);
            }
        });
    }

    private void answered(Http.Answer answer) {
        double nowS = term.nowS();
        switch (answer.status()) {
            case 200 -> stored(Fields.num(answer.body(), "epoch", 0));
            case 409 -> conditionFailed(Fields.list(answer.body(), "failed"), nowS);
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
                retryAtS = nowS + Constants.UNSERVED_CHANGE_S;
            }
            default -> {
                // It may have been executed or yet be: only the same change again gives a definite answer.
                if (answer.sent()) {
                    unknown = true;
                } else if (!unknown) {
                    settled();
                }
                retryAtS = nowS + Constants.UNANSWERED_CHANGE_S;
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
        reservations.stored(epoch);
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
            job.staged(item.parts, item.version);
            return;
        }
        job.stamp = Math.max(job.stamp, stamp);
        job.writeId = item.writeId;
        job.persisted(item.parts, item.version);
        if (job.dirty()) {
            job.dirtySinceS = term.nowS();
        } else {
            job.dirtySinceS = Double.NaN;
            job.urgent = false;
        }
    }

    /** The job has moved to the finished ones; {@code known} whether its outcome is. */
    private void over(Job job, boolean known, boolean done, long stamp) {
        String id = job.spec.id();
        for (int part = 1; part < job.parts(); part++) {
            orphans.add(RecordCodec.partKey(id, part));
        }
        job.leftover.stream().forEach(part -> orphans.add(RecordCodec.partKey(id, part)));
        term.cluster.finished(job, stamp);
        if (known) {
            finished.finished(job, done);
        }
    }

    private void settled() {
        inFlight = null;
        change = null;
        reservations.skip();
        unknown = false;
    }

    /**
     * A change that the state service will never take: alone, its job is left for a while, so that it keeps no other
     * from being written; of several, each is tried by itself. Only the leader key and the watch tell of a new leader.
     */
    private void refused(double nowS) {
        retryAtS = nowS + Constants.REFUSED_CHANGE_PAUSE_S;
        boolean more = reservations.pending() || orphansInFlight > 0;
        if (inFlight.size() > 1 || !inFlight.isEmpty() && more) {
            oneByOne = Math.max(oneByOne, inFlight.size());
        } else if (inFlight.size() == 1) {
            Job job = inFlight.get(0).job;
            refusedUntil.put(job.spec.id(), nowS + Constants.REFUSED_CHANGE_S);
            if (!unknown) {
                term.cluster.withdraw(job, nowS + Constants.REFUSED_CHANGE_S);
            }
        } else {
            reservations.refused(nowS);
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
        if (reservations.pending()) {
            retryAtS = nowS + Constants.STALE_RESERVATION_S; // the watch shows the jobs' records meanwhile
            reservations.reread(() -> readBack(left));
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
        state.get(StateKeys.LIVE + id, Constants.STATE_TIMEOUT_MS, answer -> {
            if (term.ended()) {
                return;
            }
            if (answer.status() == 200) {
                Map<String, Object> record = Fields.map(answer.body().get("v"));
                records.record(id, record, Fields.num(answer.body(), "stamp", 0), term.nowS());
                left.poll();
                readBack(left);
            } else if (answer.status() == 404) {
                readFinal(left);
            } else {
                term.later(() -> readBack(left), Constants.READ_BACK_RETRY_MS);
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
        state.get(StateKeys.FINAL + id, Constants.STATE_TIMEOUT_MS, answer -> {
            if (term.ended()) {
                return;
            }
            boolean known = answer.status() == 200;
            if (!known && answer.status() != 404) {
                term.later(() -> readBack(left), Constants.READ_BACK_RETRY_MS);
                return;
            }
            if (!known) {
                LOG.error("record of {} is gone", id);
            }
            if (term.cluster.jobs.get(id) == job) {
                boolean done = known && Fields.bool(Fields.map(answer.body().get("v")), "done");
                over(job, known, done, Fields.num(answer.body(), known ? "stamp" : "epoch", job.stamp));
            }
            left.poll();
            readBack(left);
        });
    }
}
