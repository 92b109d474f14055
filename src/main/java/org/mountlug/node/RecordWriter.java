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
 * Writes the leader's decisions to the state service. At most one transaction is in flight; it holds the changed jobs, the
 * urgent ones first. A transaction without a response is sent again unchanged until a response says whether it was executed.
 */
final class RecordWriter {
    private static final Logger LOG = LoggerFactory.getLogger(RecordWriter.class);

    /**
     * The writes of one job in a transaction.
     *
     * @param finished whether the live record is replaced by a final record
     * @param done whether the final record says done; false for a live job
     * @param includesMainRecord false if the transaction holds only staged parts of the job
     * @param parts numbers of the record parts in the transaction
     * @param version the job's version that is written
     * @param writeId identity of this write, stored in the main record
     */
    private record JobWrite(
            Job job,
            boolean finished,
            boolean done,
            boolean includesMainRecord,
            int[] parts,
            long version,
            String writeId) {}

    /** A transaction under construction, with its size so far. */
    private static final class TransactionDraft {
        final Transaction transaction;
        final int maxWrites;
        final List<JobWrite> jobWrites = new ArrayList<>();
        int writeCount;
        int valueBytes;

        TransactionDraft(Transaction transaction, int maxWrites) {
            this.transaction = transaction;
            this.maxWrites = maxWrites;
        }

        void put(String key, Map<String, Object> value) {
            transaction.put(key, value);
            valueBytes += Json.length(value) + Constants.WRITE_OVERHEAD_BYTES;
            writeCount++;
        }

        boolean isFull() {
            return writeCount >= maxWrites || valueBytes > Constants.MAX_TXN_BYTES;
        }
    }

    /** Receives the jobs whose final record is durable and whose outcome is known. */
    interface FinishedJobListener {
        void onJobFinished(Job job, boolean done);
    }

    private final LeaderTerm term;
    private final StateClient state;
    private final TokenBucket writeRateLimit;
    private final RecordSplitter recordSplitter;
    private final ReservationWriter reservationWriter;
    private final JobRecordWatch recordWatch;
    private final FinishedJobListener finishedJobListener;

    /** Stored keys that nothing refers to, deleted when a transaction has writes to spare. */
    private final ArrayDeque<String> orphanedKeys = new ArrayDeque<>();
    /** Number of keys, from the front of {@link #orphanedKeys}, that the transaction in flight deletes. */
    private int orphanedKeysInFlight;
    /** Number of following transactions that hold one job each, to find the job whose write the state service rejects. */
    private int singleJobTransactionsLeft;
    /** By job ID, the monotonic time before which the job is not written, because the state service rejected its write. */
    private final Map<String, Double> jobRetryNotBeforeS = new HashMap<>();

    private List<JobWrite> jobWritesInFlight;
    private Transaction transactionInFlight;
    /** Whether a transaction, or the reading of its records after a failure, has not been answered yet. */
    private boolean awaitingStateService;
    /** Whether an earlier copy of the transaction in flight may have been executed or may still be executed. */
    private boolean outcomeUncertain;

    /** Monotonic time before which no transaction is sent, after one that was rejected or not answered. */
    private double retryNotBeforeS;

    private double nextFlushS;
    private long writeCounter;

    RecordWriter(
            LeaderTerm term,
            TokenBucket writeRateLimit,
            RecordSplitter recordSplitter,
            ReservationWriter reservationWriter,
            JobRecordWatch recordWatch,
            FinishedJobListener finishedJobListener) {
        this.term = term;
        this.state = term.environment.state();
        this.writeRateLimit = writeRateLimit;
        this.recordSplitter = recordSplitter;
        this.reservationWriter = reservationWriter;
        this.recordWatch = recordWatch;
        this.finishedJobListener = finishedJobListener;
    }

    /** Schedules the deletion of a key that an earlier leader left and that nothing refers to. */
    void addOrphanedKey(String key) {
        orphanedKeys.add(key);
    }

    /** Makes the next tick flush at once instead of at the end of the flush interval. */
    void requestImmediateFlush() {
        nextFlushS = 0;
    }

    /** Flushes if the flush interval has passed: writes the changed jobs and reservations. */
    void tick(double nowS) {
        if (nowS >= nextFlushS) {
            nextFlushS = nowS + Constants.FLUSH_INTERVAL_MS / 1000.0;
            flush(nowS);
        }
    }

    /**
     * Marks a write in flight as durable if the watch has shown a record with its identity: the response to the transaction
     * may be late or lost.
     */
    void confirmWatchedWrite(Job job, String writeId, long revision) {
        if (jobWritesInFlight == null) {
            return;
        }
        for (JobWrite jobWrite : jobWritesInFlight) {
            if (jobWrite.job == job && jobWrite.includesMainRecord && jobWrite.writeId.equals(writeId)) {
                markWritten(jobWrite, revision);
            }
        }
    }

    // ---- building a transaction -----------------------------------------------------------------------------------

    private void flush(double nowS) {
        if (awaitingStateService || nowS < retryNotBeforeS) {
            return;
        }
        if (transactionInFlight != null) {
            sendTransaction();
            return;
        }
        if (!term.isLeaseHeld(nowS)) {
            return;
        }
        int maxOpsPerTransaction = term.environment.settings().txnOps();
        int maxWrites = (int) Math.min(maxOpsPerTransaction, Math.floor(writeRateLimit.available(nowS) + 1e-9));
        if (maxWrites < 1) {
            return;
        }
        TransactionDraft draft = new TransactionDraft(term.newFencedTransaction(), maxWrites);
        if (!addWrites(draft, maxOpsPerTransaction, nowS) || draft.writeCount == 0) {
            return;
        }
        writeRateLimit.tryAcquire(nowS, draft.writeCount);
        jobWritesInFlight = draft.jobWrites;
        transactionInFlight = draft.transaction;
        outcomeUncertain = false;
        sendTransaction();
    }

    /**
     * Adds writes up to the limits of the draft. Returns false if the first job needs more writes than the rate limit
     * allows now, so that nothing may be sent until it allows them.
     */
    private boolean addWrites(TransactionDraft draft, int maxOpsPerTransaction, double nowS) {
        List<Job> jobs = jobsToWrite(nowS);
        boolean singleJob = singleJobTransactionsLeft > 0;
        if (singleJob && !jobs.isEmpty()) {
            reservationWriter.clearInFlight();
        } else {
            draft.writeCount = reservationWriter.addChangesTo(draft.transaction, draft.maxWrites, nowS);
        }
        for (Job job : jobs) {
            // A job with changed parts needs its main record and at least one part in a transaction. With less, a job
            // of
            // many parts would never be written completely.
            int minWrites = job.isFinished() || job.partsToWrite(1).length > 0 ? 2 : 1;
            if (draft.writeCount + minWrites > draft.maxWrites) {
                if (draft.writeCount > 0) {
                    break;
                }
                if (maxOpsPerTransaction >= minWrites) {
                    return false;
                }
            }
            addJob(draft, job, nowS);
            if (singleJob || draft.isFull()) {
                break;
            }
        }
        if (singleJob) {
            singleJobTransactionsLeft--;
        }
        addOrphanedKeyDeletes(draft, singleJob);
        return true;
    }

    /**
     * Returns the jobs to write, those first whose users wait for the write: services, then finished jobs, then urgent
     * changes, then the oldest changes.
     */
    private List<Job> jobsToWrite(double nowS) {
        List<Job> jobs = new ArrayList<>();
        for (Job job : term.cluster.jobs.values()) {
            if (job.isFinished() && !job.isDirty()) {
                job.markChanged(nowS, true);
            }
            if (nowS < jobRetryNotBeforeS.getOrDefault(job.spec.id(), 0.0)) {
                continue;
            }
            if (job.isDirty() && (job.writeUrgent || nowS - job.dirtySinceS > Constants.LAZY_FLUSH_DELAY_MS / 1000.0)) {
                jobs.add(job);
            }
        }
        jobs.sort(Comparator.comparing((Job job) -> !job.spec.isService())
                .thenComparing(job -> !job.isFinished())
                .thenComparing(job -> !job.writeUrgent)
                .thenComparingDouble(job -> job.dirtySinceS));
        return jobs;
    }

    private void addJob(TransactionDraft draft, Job job, double nowS) {
        String id = job.spec.id();
        String writeId = term.cluster.termToken() + "." + ++writeCounter;
        draft.transaction.requireRevision(StateKeys.LIVE_JOBS + id, job.revision);
        if (job.isFinished()) {
            draft.transaction.delete(StateKeys.LIVE_JOBS + id);
            draft.transaction.put(
                    StateKeys.FINAL_RECORDS + id, JobRecordCodec.finalRecord(job.isDone(), job.spec.tasks()));
            draft.writeCount += 2;
            draft.jobWrites.add(new JobWrite(job, true, job.isDone(), true, new int[0], job.version, writeId));
            return;
        }
        if (recordSplitter.mustSplit(job)) {
            recordSplitter.split(job, nowS);
        }
        int writesLeft = draft.maxWrites - draft.writeCount;
        int[] partsToWrite = job.partsToWrite(writesLeft + 1);
        // While a split is pending, the main record that refers to the parts is written with the last of them. Until
        // then the previous record stays valid and holds everything durable; staged parts have no effect.
        boolean includesMainRecord = !job.isSplitPending() || partsToWrite.length < writesLeft;
        int[] includedParts =
                Arrays.copyOf(partsToWrite, Math.min(partsToWrite.length, writesLeft - (includesMainRecord ? 1 : 0)));
        if (includesMainRecord) {
            draft.put(StateKeys.LIVE_JOBS + id, JobRecordCodec.write(job, writeId));
        }
        for (int part : includedParts) {
            draft.put(JobRecordCodec.partKey(id, part), JobRecordCodec.writePart(job, part));
        }
        draft.jobWrites.add(new JobWrite(job, false, false, includesMainRecord, includedParts, job.version, writeId));
    }

    private void addOrphanedKeyDeletes(TransactionDraft draft, boolean singleJob) {
        orphanedKeysInFlight = 0;
        for (String key : orphanedKeys) {
            if (singleJob
                    || draft.writeCount >= draft.maxWrites
                    || orphanedKeysInFlight >= Constants.MAX_ORPHANED_KEYS_PER_TXN) {
                break;
            }
            draft.transaction.delete(key);
            orphanedKeysInFlight++;
            draft.writeCount++;
        }
    }

    // ---- handling the response ------------------------------------------------------------------------------------

    private void sendTransaction() {
        awaitingStateService = true;
        state.commit(transactionInFlight, response -> {
            awaitingStateService = false;
            if (!term.hasEnded()) {
                handleResponse(response);
            }
        });
    }

    private void handleResponse(PooledHttpClient.Response response) {
        double nowS = term.nowS();
        switch (response.status()) {
            case 200 -> handleCommit(Fields.getLong(response.body(), "epoch", 0));
            case 409 -> handleFailedCondition(Fields.getList(response.body(), "failed"), nowS);
            case 400 -> {
                LOG.error(
                        "state service rejected a transaction with writes of {} jobs: {}",
                        jobWritesInFlight.size(),
                        response.body());
                handleRejection(nowS);
                if (outcomeUncertain) { // an earlier copy may have been executed before the limits were lowered
                    awaitingStateService = true;
                    readBackRecords(new ArrayDeque<>(jobWritesInFlight));
                } else {
                    clearTransaction();
                }
            }
            case 429, 503 -> {
                if (!outcomeUncertain) {
                    clearTransaction(); // it was not executed, and its jobs are still marked as changed
                }
                retryNotBeforeS = nowS + Constants.UNAVAILABLE_TXN_RETRY_S;
            }
            default -> {
                // The transaction may have been executed or may still be. Only sending it again unchanged gives a
                // definite response.
                if (response.requestSent()) {
                    outcomeUncertain = true;
                } else if (!outcomeUncertain) {
                    clearTransaction();
                }
                retryNotBeforeS = nowS + Constants.UNANSWERED_TXN_RETRY_S;
            }
        }
    }

    private void handleCommit(long revision) {
        term.cluster.recordProvenRevision(revision);
        for (JobWrite jobWrite : jobWritesInFlight) {
            // The watch may have shown this write already and the finished job may have been removed.
            if (term.cluster.jobs.get(jobWrite.job.spec.id()) == jobWrite.job) {
                markWritten(jobWrite, revision);
            }
        }
        reservationWriter.recordStored(revision);
        for (int i = 0; i < orphanedKeysInFlight; i++) {
            orphanedKeys.poll();
        }
        clearTransaction();
        nextFlushS = 0;
    }

    private void markWritten(JobWrite jobWrite, long revision) {
        Job job = jobWrite.job;
        if (jobWrite.finished) {
            finishJob(job, true, jobWrite.done, revision);
            return;
        }
        if (!jobWrite.includesMainRecord) {
            job.markStaged(jobWrite.parts, jobWrite.version);
            return;
        }
        job.revision = Math.max(job.revision, revision);
        job.writeId = jobWrite.writeId;
        job.markPersisted(jobWrite.parts, jobWrite.version);
        if (job.isDirty()) {
            job.dirtySinceS = term.nowS();
        } else {
            job.dirtySinceS = Double.NaN;
            job.writeUrgent = false;
        }
    }

    /**
     * Removes a job whose live record is gone from the state service, and schedules its parts for deletion.
     *
     * @param outcomeKnown whether {@code done} was read from, or written to, the final record
     */
    private void finishJob(Job job, boolean outcomeKnown, boolean done, long revision) {
        String id = job.spec.id();
        for (int part = 1; part < job.recordCount(); part++) {
            orphanedKeys.add(JobRecordCodec.partKey(id, part));
        }
        job.orphanedParts.stream().forEach(part -> orphanedKeys.add(JobRecordCodec.partKey(id, part)));
        term.cluster.removeFinishedJob(job, revision);
        if (outcomeKnown) {
            finishedJobListener.onJobFinished(job, done);
        }
    }

    private void clearTransaction() {
        jobWritesInFlight = null;
        transactionInFlight = null;
        reservationWriter.clearInFlight();
        outcomeUncertain = false;
    }

    /**
     * Handles a transaction that the state service would always reject. If it held one job only, that job is not written
     * for a while, so that it does not block the others; if it held more, each job is tried in a transaction of its own.
     * A rejection does not mean that there is a new leader: only the leader key and the watch show that.
     */
    private void handleRejection(double nowS) {
        retryNotBeforeS = nowS + Constants.REJECTED_TXN_PAUSE_S;
        boolean hasOtherWrites = reservationWriter.isWriteInFlight() || orphanedKeysInFlight > 0;
        if (jobWritesInFlight.size() > 1 || !jobWritesInFlight.isEmpty() && hasOtherWrites) {
            singleJobTransactionsLeft = Math.max(singleJobTransactionsLeft, jobWritesInFlight.size());
        } else if (jobWritesInFlight.size() == 1) {
            Job job = jobWritesInFlight.get(0).job;
            jobRetryNotBeforeS.put(job.spec.id(), nowS + Constants.REJECTED_JOB_WRITE_PAUSE_S);
            if (!outcomeUncertain) {
                term.cluster.dropUnpersistedPlacements(job, nowS + Constants.REJECTED_JOB_WRITE_PAUSE_S);
            }
        } else {
            reservationWriter.recordRejection(nowS);
            orphanedKeys.clear(); // the next leader finds these keys again when it loads the records
        }
    }

    private void handleFailedCondition(List<Object> failedKeys, double nowS) {
        if (failedKeys.contains(StateKeys.LEADER)) {
            term.depose("the leader key has changed");
            return;
        }
        awaitingStateService = true;
        ArrayDeque<JobWrite> remaining = new ArrayDeque<>(jobWritesInFlight);
        if (reservationWriter.isWriteInFlight()) {
            // The watch shows the jobs' current records during this pause.
            retryNotBeforeS = nowS + Constants.STALE_RESERVATION_RETRY_S;
            reservationWriter.reload(() -> readBackRecords(remaining));
        } else {
            readBackRecords(remaining);
        }
    }

    /**
     * Reads the records of the remaining jobs after a failed condition. Each shows whether it holds this transaction's
     * write (an earlier response was lost) or a user's cancellation.
     */
    private void readBackRecords(ArrayDeque<JobWrite> remaining) {
        if (remaining.isEmpty()) {
            awaitingStateService = false;
            clearTransaction();
            return;
        }
        String id = remaining.peek().job.spec.id();
        state.get(StateKeys.LIVE_JOBS + id, Constants.STATE_TIMEOUT_MS, response -> {
            if (term.hasEnded()) {
                return;
            }
            if (response.status() == 200) {
                Map<String, Object> record = Fields.asMap(response.body().get("v"));
                recordWatch.applyRecord(id, record, Fields.getLong(response.body(), "stamp", 0), term.nowS());
                remaining.poll();
                readBackRecords(remaining);
            } else if (response.status() == 404) {
                readFinalRecord(remaining);
            } else {
                term.runLater(() -> readBackRecords(remaining), Constants.READ_BACK_RETRY_MS);
            }
        });
    }

    /**
     * Reads the final record of the first remaining job, whose live record is gone. Only the final record shows the outcome.
     * This term need not have written it: while the state service was unavailable to this controller, another leader may have
     * finished the job with a cancellation that is not known here.
     */
    private void readFinalRecord(ArrayDeque<JobWrite> remaining) {
        Job job = remaining.peek().job;
        String id = job.spec.id();
        state.get(StateKeys.FINAL_RECORDS + id, Constants.STATE_TIMEOUT_MS, response -> {
            if (term.hasEnded()) {
                return;
            }
            boolean outcomeKnown = response.status() == 200;
            if (!outcomeKnown && response.status() != 404) {
                term.runLater(() -> readBackRecords(remaining), Constants.READ_BACK_RETRY_MS);
                return;
            }
            if (!outcomeKnown) {
                LOG.error("job {} has neither a live record nor a final record", id);
            }
            if (term.cluster.jobs.get(id) == job) {
                boolean done = outcomeKnown
                        && Fields.getBoolean(Fields.asMap(response.body().get("v")), "done");
                finishJob(
                        job,
                        outcomeKnown,
                        done,
                        Fields.getLong(response.body(), outcomeKnown ? "stamp" : "epoch", job.revision));
            }
            remaining.poll();
            readBackRecords(remaining);
        });
    }
}
