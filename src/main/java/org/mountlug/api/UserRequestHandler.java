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

/**
 * Handles users' submissions, polls and cancellations. Any controller can handle them, because each is decided by the job's
 * record in the state service.
 */
public final class UserRequestHandler {
    private static final Logger LOG = LoggerFactory.getLogger(UserRequestHandler.class);

    /** Sends the response to one request. */
    public interface Reply {
        /** Sends the response; called once for each request. */
        void send(UserResponse response);
    }

    private final Controller controller;
    private final StateClient state;
    private final LongSupplier epochMs;
    private final JobLookup jobLookup;
    private final SubmissionValidator validator;

    /** Creates the handler of the users' requests that reach this controller. */
    public UserRequestHandler(Controller controller, StateClient state, Settings settings, LongSupplier epochMs) {
        this.controller = controller;
        this.state = state;
        this.epochMs = epochMs;
        this.jobLookup = new JobLookup(controller, state);
        this.validator = new SubmissionValidator(settings);
    }

    // ---- polls --------------------------------------------------------------------------------------------------

    /** Responds with the state of a job. */
    public void poll(String jobId, Reply reply) {
        if (refuseIfShedding(reply)) {
            return;
        }
        if (!JobParser.isValidId(jobId)) {
            reply.send(new UserResponse.UnknownJob());
            return;
        }
        if (respondFromCache(jobId, reply)) {
            return;
        }
        if (!state.tryAcquireRead()) {
            reply.send(UserResponse.rateLimited());
            return;
        }
        respondFromRecord(jobId, reply, new UserResponse.UnknownJob());
    }

    /**
     * Refuses a request just after a long process pause, as it may have waited in its socket until its user gave up; returns
     * whether the request was refused.
     */
    private boolean refuseIfShedding(Reply reply) {
        boolean shedding = controller.isSheddingRequests();
        if (shedding) {
            reply.send(UserResponse.unavailable());
        }
        return shedding;
    }

    /** Responds with the final state of a job if that is cached; returns whether it did. */
    private boolean respondFromCache(String jobId, Reply reply) {
        Boolean done = controller.cachedFinalState(jobId);
        if (done == null) {
            return false;
        }
        int tasks = done ? controller.cachedTaskCount(jobId) : 0;
        reply.send(new UserResponse.JobState(jobId, JobStatus.ofFinished(done), tasks, 0));
        return true;
    }

    /** Responds with the state in the job's record, or with {@code ifUnknown} if no such job was ever accepted. */
    private void respondFromRecord(String jobId, Reply reply, UserResponse ifUnknown) {
        jobLookup.find(jobId, result -> {
            if (result instanceof JobLookup.Result.Live live) {
                respondLive(jobId, live.record(), reply);
            } else if (result instanceof JobLookup.Result.Finished) {
                respondFromCache(jobId, reply);
            } else if (result instanceof JobLookup.Result.Unknown) {
                reply.send(ifUnknown);
            } else {
                reply.send(UserResponse.unavailable());
            }
        });
    }

    private void respondLive(String jobId, Map<String, Object> record, Reply reply) {
        if (JobRecordCodec.isCancelled(record)) {
            respondCancelled(jobId, reply);
            return;
        }
        JobRecordCodec.TaskCounts counts = JobRecordCodec.taskCounts(record);
        JobStatus status = counts.placed() > 0 ? JobStatus.RUNNING : JobStatus.PENDING;
        reply.send(new UserResponse.JobState(jobId, status, counts.done(), counts.placed()));
    }

    /**
     * Responds that a job is cancelled whose record is still live. Every such response, to a cancellation, a poll or a repeated
     * submission at any controller, goes through here. The response to the cancellation itself may have been lost, so any
     * of these may be the first that a user receives, and the time limit {@code cancel_s} within which the job's tasks must
     * have stopped counts from that first one. The cancellation is therefore recorded for the leader before the response is
     * sent.
     */
    private void respondCancelled(String jobId, Reply reply) {
        controller.recordCancellation(jobId);
        reply.send(new UserResponse.JobState(jobId, JobStatus.CANCELLED, 0, 0));
    }

    // ---- submissions --------------------------------------------------------------------------------------------

    /** Accepts a job, or responds with the reason why it is not accepted. */
    public void submit(byte[] body, Reply reply) {
        controller.metrics().countSubmission();
        if (refuseIfShedding(reply)) {
            return;
        }
        Map<String, Object> fields;
        try {
            fields = SubmissionValidator.parseFields(body);
        } catch (SubmissionValidator.RejectedSubmissionException e) {
            reply.send(e.response());
            return;
        }
        String jobId = Fields.getString(fields, "nameId");
        if (respondFromCache(jobId, reply)) {
            return;
        }
        JobSpec spec;
        try {
            spec = validator.toJobSpec(fields, controller.machineTypes(), epochMs.getAsLong());
        } catch (SubmissionValidator.RejectedSubmissionException e) {
            LOG.debug("rejected the submission of job {}: {}", jobId, e.getMessage());
            respondRejected(jobId, e.response(), reply);
            return;
        }
        admit(spec, reply);
    }

    /**
     * Responds to a rejected submission: with the job's state if a job with this id was accepted earlier, as an accepted job
     * stays accepted whatever a repeated submission contains, and otherwise with the rejection. The lookup counts against
     * the rate limit of submissions.
     */
    private void respondRejected(String jobId, UserResponse rejection, Reply reply) {
        if (state.tryAcquireSubmission()) {
            respondFromRecord(jobId, reply, rejection);
        } else {
            reply.send(UserResponse.rateLimited());
        }
    }

    private void admit(JobSpec spec, Reply reply) {
        AdmissionDecision decision = controller.admission().decide(spec);
        if (decision instanceof AdmissionDecision.Admit) {
            createRecord(spec, reply);
        } else if (decision instanceof AdmissionDecision.Defer defer) {
            controller.metrics().countDeferredSubmission(spec.team());
            reply.send(new UserResponse.Deferred(defer.retryAfterS(), defer.turnIsFinal()));
        } else if (decision instanceof AdmissionDecision.RetryLater retryLater) {
            reply.send(new UserResponse.Unavailable(retryLater.retryAfterS()));
        } else {
            reply.send(UserResponse.rateLimited());
        }
    }

    /** Writes the job's record unless one exists; if one does, responds with the state in that record. */
    private void createRecord(JobSpec spec, Reply reply) {
        String jobId = spec.id();
        Transaction transaction = new Transaction()
                .requireRevision(StateKeys.LIVE_JOBS + jobId, 0)
                .requireRevision(StateKeys.FINAL_RECORDS + jobId, 0)
                .put(StateKeys.LIVE_JOBS + jobId, JobRecordCodec.newRecord(spec));
        state.commit(transaction, response -> {
            if (response.status() == 200) {
                reply.send(new UserResponse.Accepted(jobId));
            } else if (response.status() == 409) {
                state.chargeRequest();
                respondFromRecord(jobId, reply, UserResponse.unavailable());
            } else {
                reply.send(UserResponse.forStateError(response.status()));
            }
        });
    }

    // ---- cancellations ------------------------------------------------------------------------------------------

    /** Cancels a job, or responds with its final state if it is finished already. */
    public void cancel(String jobId, Reply reply) {
        if (refuseIfShedding(reply)) {
            return;
        }
        if (!JobParser.isValidId(jobId)) {
            reply.send(new UserResponse.UnknownJob());
            return;
        }
        cancel(jobId, reply, Constants.MAX_CANCEL_TRIES);
    }

    private void cancel(String jobId, Reply reply, int triesLeft) {
        if (respondFromCache(jobId, reply)) {
            return;
        }
        if (triesLeft == 0) {
            reply.send(UserResponse.unavailable());
            return;
        }
        if (!controller.admission().tryAcquireCancellation()) {
            reply.send(UserResponse.rateLimited());
            return;
        }
        jobLookup.find(jobId, result -> {
            if (result instanceof JobLookup.Result.Live live) {
                cancelLive(jobId, live, reply, triesLeft);
            } else if (result instanceof JobLookup.Result.Finished) {
                respondFromCache(jobId, reply);
            } else if (result instanceof JobLookup.Result.Unknown) {
                reply.send(new UserResponse.UnknownJob());
            } else {
                reply.send(UserResponse.unavailable());
            }
        });
    }

    private void cancelLive(String jobId, JobLookup.Result.Live live, Reply reply, int triesLeft) {
        if (JobRecordCodec.isCancelled(live.record())) {
            respondCancelled(jobId, reply);
            return;
        }
        Map<String, Object> cancelledRecord = JobRecordCodec.withCancellation(live.record());
        state.chargeRequest();
        Transaction transaction = new Transaction()
                .requireRevision(StateKeys.LIVE_JOBS + jobId, live.revision())
                .put(StateKeys.LIVE_JOBS + jobId, cancelledRecord);
        state.commit(transaction, response -> onCancellationWritten(jobId, response, reply, triesLeft));
    }

    private void onCancellationWritten(String jobId, PooledHttpClient.Response response, Reply reply, int triesLeft) {
        if (response.status() == 200) {
            respondCancelled(jobId, reply);
        } else if (response.status() == 409) {
            cancel(jobId, reply, triesLeft - 1);
        } else {
            // 400: the record has been too large to write since the value limit was lowered; the cancellation can be
            // repeated once the leader has rewritten the record.
            reply.send(UserResponse.forStateError(response.status()));
        }
    }
}
