package org.mountlug.api;

import java.util.Map;
import java.util.function.LongSupplier;
import org.mountlug.Constants;
import org.mountlug.core.admit.AdmissionDecision;
import org.mountlug.core.model.JobSpec;
import org.mountlug.node.Controller;
import org.mountlug.settings.Settings;
import org.mountlug.store.Change;
import org.mountlug.store.RecordCodec;
import org.mountlug.store.StateClient;
import org.mountlug.store.StateKeys;
import org.mountlug.wire.Fields;
import org.mountlug.wire.Http;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What users ask: submissions, polls and aborts, on any node, each decided by the job's record. */
public final class Users {
    private static final Logger LOG = LoggerFactory.getLogger(Users.class);

    /** How an answer leaves. */
    public interface Reply {
        /** Answers the request; called once. */
        void send(UserAnswer answer);
    }

    private final Controller node;
    private final StateClient state;
    private final LongSupplier epochMs;
    private final JobLookup jobs;
    private final SubmissionCheck check;

    /** Decides the requests of users that reach this controller. */
    public Users(Controller node, StateClient state, Settings settings, LongSupplier epochMs) {
        this.node = node;
        this.state = state;
        this.epochMs = epochMs;
        this.jobs = new JobLookup(node, state);
        this.check = new SubmissionCheck(settings);
    }

    // ---- polls --------------------------------------------------------------------------------------------------

    /** Answers a question about the state of a job. */
    public void poll(String jobId, Reply reply) {
        if (refusedAfterStandstill(reply)) {
            return;
        }
        if (!JobParser.validId(jobId)) {
            reply.send(new UserAnswer.UnknownJob());
            return;
        }
        if (answeredFromCache(jobId, reply)) {
            return;
        }
        if (!state.takeRead()) {
            reply.send(UserAnswer.overBudget());
            return;
        }
        answerKnown(jobId, reply, new UserAnswer.UnknownJob());
    }

    /** Refuses at once what may have waited in its socket until nobody waits for the answer. */
    private boolean refusedAfterStandstill(Reply reply) {
        boolean refused = node.shedsRequests();
        if (refused) {
            reply.send(UserAnswer.unavailable());
        }
        return refused;
    }

    private boolean answeredFromCache(String jobId, Reply reply) {
        Boolean done = node.finalState(jobId);
        if (done == null) {
            return false;
        }
        int tasks = done ? node.finalTasks(jobId) : 0;
        reply.send(new UserAnswer.JobState(jobId, JobStatus.ended(done), tasks, 0));
        return true;
    }

    /** Answers with the job's current state, or as given if no such job was ever accepted. */
    private void answerKnown(String jobId, Reply reply, UserAnswer ifUnknown) {
        jobs.find(jobId, found -> {
            if (found instanceof JobLookup.Found.Live live) {
                answerLive(jobId, live.record(), reply);
            } else if (found instanceof JobLookup.Found.Finished) {
                answeredFromCache(jobId, reply);
            } else if (found instanceof JobLookup.Found.Unknown) {
                reply.send(ifUnknown);
            } else {
                reply.send(UserAnswer.unavailable());
            }
        });
    }

    private void answerLive(String jobId, Map<String, Object> record, Reply reply) {
        if (RecordCodec.cancelled(record)) {
            answerCancelled(jobId, reply);
            return;
        }
        RecordCodec.TaskCounts counts = RecordCodec.counts(record);
        JobStatus status = counts.placed() > 0 ? JobStatus.RUNNING : JobStatus.PENDING;
        reply.send(new UserAnswer.JobState(jobId, status, counts.done(), counts.placed()));
    }

    /**
     * The only way on which a user hears that a job is cancelled whose record is still live, be it from the abort itself,
     * from a poll or from a repeated submission, at whichever node. The abort's own answer may have been lost, so any of
     * them may be the first to tell, and from then on {@code cancel_s} counts: first the leader must be able to know.
     */
    private void answerCancelled(String jobId, Reply reply) {
        node.abortAccepted(jobId);
        reply.send(new UserAnswer.JobState(jobId, JobStatus.CANCELLED, 0, 0));
    }

    // ---- submissions --------------------------------------------------------------------------------------------

    /** Takes a job in, or says why not. */
    public void submit(byte[] body, Reply reply) {
        node.metrics().submitted();
        if (refusedAfterStandstill(reply)) {
            return;
        }
        Map<String, Object> fields;
        try {
            fields = SubmissionCheck.fields(body);
        } catch (SubmissionCheck.Rejected e) {
            reply.send(e.answer());
            return;
        }
        String jobId = Fields.str(fields, "nameId");
        if (answeredFromCache(jobId, reply)) {
            return;
        }
        JobSpec spec;
        try {
            spec = check.job(fields, node.knownTypes(), epochMs.getAsLong());
        } catch (SubmissionCheck.Rejected e) {
            LOG.debug("rejected {}: {}", jobId, e.getMessage());
            answerRejected(jobId, e.answer(), reply);
            return;
        }
        admit(spec, reply);
    }

    /** An accepted job stays accepted, whatever a repeated body looks like; only the look-up is taken from a budget. */
    private void answerRejected(String jobId, UserAnswer answer, Reply reply) {
        if (state.takeSubmission()) {
            answerKnown(jobId, reply, answer);
        } else {
            reply.send(UserAnswer.overBudget());
        }
    }

    private void admit(JobSpec spec, Reply reply) {
        AdmissionDecision decision = node.admission().decide(spec);
        if (decision instanceof AdmissionDecision.Admit) {
            create(spec, reply);
        } else if (decision instanceof AdmissionDecision.Defer defer) {
            node.metrics().deferred(spec.team());
            reply.send(new UserAnswer.Deferred(defer.retryAfterS(), defer.isFinal()));
        } else if (decision instanceof AdmissionDecision.Undecided undecided) {
            reply.send(new UserAnswer.Unavailable(undecided.retryAfterS()));
        } else {
            reply.send(UserAnswer.overBudget());
        }
    }

    /** Writes the job's record unless there is one; whoever comes second answers with what the first one wrote. */
    private void create(JobSpec spec, Reply reply) {
        String jobId = spec.id();
        Change change = new Change()
                .guard(StateKeys.LIVE + jobId, 0)
                .guard(StateKeys.FINAL + jobId, 0)
                .put(StateKeys.LIVE + jobId, RecordCodec.fresh(spec));
        state.commit(change, answer -> {
            if (answer.status() == 200) {
                reply.send(new UserAnswer.Accepted(jobId));
            } else if (answer.status() == 409) {
                state.spendRequest();
                answerKnown(jobId, reply, UserAnswer.unavailable());
            } else {
                reply.send(UserAnswer.unserved(answer.status()));
            }
        });
    }

    // ---- cancellations ------------------------------------------------------------------------------------------

    /** Cancels a job, or answers that it is done already. */
    public void abort(String jobId, Reply reply) {
        if (refusedAfterStandstill(reply)) {
            return;
        }
        if (!JobParser.validId(jobId)) {
            reply.send(new UserAnswer.UnknownJob());
            return;
        }
        abort(jobId, reply, Constants.ABORT_TRIES);
    }

    private void abort(String jobId, Reply reply, int triesLeft) {
        if (answeredFromCache(jobId, reply)) {
            return;
        }
        if (triesLeft == 0) {
            reply.send(UserAnswer.unavailable());
            return;
        }
        if (!node.admission().takeCancellation()) {
            reply.send(UserAnswer.overBudget());
            return;
        }
        jobs.find(jobId, found -> {
            if (found instanceof JobLookup.Found.Live live) {
                abortLive(jobId, live, reply, triesLeft);
            } else if (found instanceof JobLookup.Found.Finished) {
                answeredFromCache(jobId, reply);
            } else if (found instanceof JobLookup.Found.Unknown) {
                reply.send(new UserAnswer.UnknownJob());
            } else {
                reply.send(UserAnswer.unavailable());
            }
        });
    }

    private void abortLive(String jobId, JobLookup.Found.Live live, Reply reply, int triesLeft) {
        if (RecordCodec.cancelled(live.record())) {
            answerCancelled(jobId, reply);
            return;
        }
        Map<String, Object> cancelled = RecordCodec.withCancellation(live.record());
        state.spendRequest();
        Change change =
                new Change().guard(StateKeys.LIVE + jobId, live.revision()).put(StateKeys.LIVE + jobId, cancelled);
        state.commit(change, answer -> abortWritten(jobId, answer, reply, triesLeft));
    }

    private void abortWritten(String jobId, Http.Answer answer, Reply reply, int triesLeft) {
        if (answer.status() == 200) {
            answerCancelled(jobId, reply);
        } else if (answer.status() == 409) {
            abort(jobId, reply, triesLeft - 1);
        } else {
            // 400: too large to be written back since the limits were lowered; the leader rewrites such records first.
            reply.send(UserAnswer.unserved(answer.status()));
        }
    }
}
