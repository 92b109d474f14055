package org.mountlug.api;

import java.util.Map;
import java.util.function.LongSupplier;
import org.mountlug.Constants;
import org.mountlug.core.admit.AdmissionDecision;
import org.mountlug.core.model.JobSpec;
import org.mountlug.node.Controller;
import org.mountlug.settings.Settings;
import org.mountlug.store.JobRecordCodec;
import org.mountlug.store.StateClient;
import org.mountlug.store.StateKeys;
import org.mountlug.store.Transaction;
import org.mountlug.wire.Fields;
import org.mountlug.wire.PooledHttpClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What users ask: submissions, polls and aborts, on any node, each decided by the job's record. */
public final class UserRequestHandler {
    private static final Logger LOG = LoggerFactory.getLogger(UserRequestHandler.class);

    /** How an answer leaves. */
    public interface Reply {
        /** Answers the request; called once. */
        void send(UserResponse answer);
    }

    private final Controller node;
    private final StateClient state;
    private final LongSupplier epochMs;
    private final JobLookup jobs;
    private final SubmissionValidator check;

    /** Decides the requests of users that reach this controller. */
    public UserRequestHandler(Controller node, StateClient state, Settings settings, LongSupplier epochMs) {
        this.node = node;
        this.state = state;
        this.epochMs = epochMs;
        this.jobs = new JobLookup(node, state);
        this.check = new SubmissionValidator(settings);
    }

    // ---- polls --------------------------------------------------------------------------------------------------

    /** Answers a question about the state of a job. */
    public void poll(String jobId, Reply reply) {
        if (refusedAfterStandstill(reply)) {
            return;
        }
        if (!JobParser.isValidId(jobId)) {
            reply.send(new UserResponse.UnknownJob());
            return;
        }
        if (answeredFromCache(jobId, reply)) {
            return;
        }
        if (!state.tryAcquireRead()) {
            reply.send(UserResponse.rateLimited());
            return;
        }
        answerKnown(jobId, reply, new UserResponse.UnknownJob());
    }

    /** Refuses at once what may have waited in its socket until nobody waits for the answer. */
    private boolean refusedAfterStandstill(Reply reply) {
        boolean refused = node.isSheddingRequests();
        if (refused) {
            reply.send(UserResponse.unavailable());
        }
        return refused;
    }

    private boolean answeredFromCache(String jobId, Reply reply) {
        Boolean done = node.cachedFinalState(jobId);
        if (done == null) {
            return false;
        }
        int tasks = done ? node.cachedTaskCount(jobId) : 0;
        reply.send(new UserResponse.JobState(jobId, JobStatus.ofFinished(done), tasks, 0));
        return true;
    }

    /** Answers with the job's current state, or as given if no such job was ever accepted. */
    private void answerKnown(String jobId, Reply reply, UserResponse ifUnknown) {
        jobs.find(jobId, found -> {
            if (found instanceof JobLookup.Result.Live live) {
                answerLive(jobId, live.record(), reply);
            } else if (found instanceof JobLookup.Result.Finished) {
                answeredFromCache(jobId, reply);
            } else if (found instanceof JobLookup.Result.Unknown) {
                reply.send(ifUnknown);
            } else {
                reply.send(UserResponse.unavailable());
            }
        });
    }

    private void answerLive(String jobId, Map<String, Object> record, Reply reply) {
        if (JobRecordCodec.isCancelled(record)) {
            answerCancelled(jobId, reply);
            return;
        }
        JobRecordCodec.TaskCounts counts = JobRecordCodec.taskCounts(record);
        JobStatus status = counts.placed() > 0 ? JobStatus.RUNNING : JobStatus.PENDING;
        reply.send(new UserResponse.JobState(jobId, status, counts.done(), counts.placed()));
    }

    /**
     * The only way on which a user hears that a job is cancelled whose record is still live, be it from the abort itself,
     * from a poll or from a repeated submission, at whichever node. The abort's own answer may have been lost, so any of
     * them may be the first to tell, and from then on {@code cancel_s} counts: first the leader must be able to know.
     */
    private void answerCancelled(String jobId, Reply reply) {
        node.recordCancellation(jobId);
        reply.send(new UserResponse.JobState(jobId, JobStatus.CANCELLED, 0, 0));
    }

    // ---- submissions --------------------------------------------------------------------------------------------

    /** Takes a job in, or says why not. */
    public void submit(byte[] body, Reply reply) {
        node.metrics().countSubmission();
        if (refusedAfterStandstill(reply)) {
            return;
        }
        Map<String, Object> fields;
        try {
            fields = SubmissionValidator.parseFields(body);
        } catch (SubmissionValidator.RejectedSubmissionException e) {
            reply.send(e.answer());
            return;
        }
        String jobId = Fields.getString(fields, "nameId");
        if (answeredFromCache(jobId, reply)) {
            return;
        }
        JobSpec spec;
        try {
            spec = check.toJobSpec(fields, node.machineTypes(), epochMs.getAsLong());
        } catch (SubmissionValidator.RejectedSubmissionException e) {
            LOG.debug("rejected {}: {}", jobId, e.getMessage());
            answerRejected(jobId, e.answer(), reply);
            return;
        }
        admit(spec, reply);
    }

    /** An accepted job stays accepted, whatever a repeated body looks like; only the look-up is taken from a budget. */
    private void answerRejected(String jobId, UserResponse answer, Reply reply) {
        if (state.tryAcquireSubmission()) {
            answerKnown(jobId, reply, answer);
        } else {
            reply.send(UserResponse.rateLimited());
        }
    }

    private void admit(JobSpec spec, Reply reply) {
        AdmissionDecision decision = node.admission().decide(spec);
        if (decision instanceof AdmissionDecision.Admit) {
            create(spec, reply);
        } else if (decision instanceof AdmissionDecision.Defer defer) {
            node.metrics().countDeferredSubmission(spec.team());
            reply.send(new UserResponse.Deferred(defer.retryAfterS(), defer.turnIsFinal()));
        } else if (decision instanceof AdmissionDecision.RetryLater undecided) {
            reply.send(new UserResponse.Unavailable(undecided.retryAfterS()));
        } else {
            reply.send(UserResponse.rateLimited());
        }
    }

    /** Writes the job's record unless there is one; whoever comes second answers with what the first one wrote. */
    private void create(JobSpec spec, Reply reply) {
        String jobId = spec.id();
        Transaction change = new Transaction()
                .requireRevision(StateKeys.LIVE_JOBS + jobId, 0)
                .requireRevision(StateKeys.FINAL_RECORDS + jobId, 0)
                .put(StateKeys.LIVE_JOBS + jobId, JobRecordCodec.newRecord(spec));
        state.commit(change, answer -> {
            if (answer.status() == 200) {
                reply.send(new UserResponse.Accepted(jobId));
            } else if (answer.status() == 409) {
                state.chargeRequest();
                answerKnown(jobId, reply, UserResponse.unavailable());
            } else {
                reply.send(UserResponse.forStateError(answer.status()));
            }
        });
    }

    // ---- cancellations ------------------------------------------------------------------------------------------

    /** Cancels a job, or answers that it is done already. */
    public void cancel(String jobId, Reply reply) {
        if (refusedAfterStandstill(reply)) {
            return;
        }
        if (!JobParser.isValidId(jobId)) {
            reply.send(new UserResponse.UnknownJob());
            return;
        }
        cancel(jobId, reply, Constants.MAX_CANCEL_TRIES);
    }

    private void cancel(String jobId, Reply reply, int triesLeft) {
        if (answeredFromCache(jobId, reply)) {
            return;
        }
        if (triesLeft == 0) {
            reply.send(UserResponse.unavailable());
            return;
        }
        if (!node.admission().tryAcquireCancellation()) {
            reply.send(UserResponse.rateLimited());
            return;
        }
        jobs.find(jobId, found -> {
            if (found instanceof JobLookup.Result.Live live) {
                abortLive(jobId, live, reply, triesLeft);
            } else if (found instanceof JobLookup.Result.Finished) {
                answeredFromCache(jobId, reply);
            } else if (found instanceof JobLookup.Result.Unknown) {
                reply.send(new UserResponse.UnknownJob());
            } else {
                reply.send(UserResponse.unavailable());
            }
        });
    }

    private void abortLive(String jobId, JobLookup.Result.Live live, Reply reply, int triesLeft) {
        if (JobRecordCodec.isCancelled(live.record())) {
            answerCancelled(jobId, reply);
            return;
        }
        Map<String, Object> cancelled = JobRecordCodec.withCancellation(live.record());
        state.chargeRequest();
        Transaction change = new Transaction()
                .requireRevision(StateKeys.LIVE_JOBS + jobId, live.revision())
                .put(StateKeys.LIVE_JOBS + jobId, cancelled);
        state.commit(change, answer -> abortWritten(jobId, answer, reply, triesLeft));
    }

    private void abortWritten(String jobId, PooledHttpClient.Response answer, Reply reply, int triesLeft) {
        if (answer.status() == 200) {
            answerCancelled(jobId, reply);
        } else if (answer.status() == 409) {
            cancel(jobId, reply, triesLeft - 1);
        } else {
            // 400: too large to be written back since the limits were lowered; the leader rewrites such records first.
            reply.send(UserResponse.forStateError(answer.status()));
        }
    }
}
