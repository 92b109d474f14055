package org.mountlug.api;

import java.util.Map;
import org.mountlug.wire.Fields;

/** Answers to users as status codes and bodies; the only place that knows their words. */
public final class UserAnswerCodec {
    private UserAnswerCodec() {}

    /** The status code of an answer. */
    public static int status(UserAnswer answer) {
        if (answer instanceof UserAnswer.Accepted) {
            return 201;
        }
        if (answer instanceof UserAnswer.JobState) {
            return 200;
        }
        if (answer instanceof UserAnswer.UnknownJob) {
            return 404;
        }
        if (answer instanceof UserAnswer.Malformed) {
            return 400;
        }
        if (answer instanceof UserAnswer.Unschedulable) {
            return 422;
        }
        return answer instanceof UserAnswer.Deferred || answer instanceof UserAnswer.OverBudget ? 429 : 503;
    }

    /** The body of an answer; empty if it has none. */
    public static Map<String, Object> body(UserAnswer answer) {
        if (answer instanceof UserAnswer.Accepted accepted) {
            return Fields.ordered("nameId", accepted.jobId(), "status", word(JobStatus.PENDING));
        }
        if (answer instanceof UserAnswer.JobState state) {
            return Fields.ordered(
                    "nameId", state.jobId(),
                    "status", word(state.status()),
                    "done", state.done(),
                    "running", state.running());
        }
        if (answer instanceof UserAnswer.Malformed malformed) {
            return Map.of("error", malformed.problem());
        }
        if (answer instanceof UserAnswer.Unschedulable unschedulable) {
            return Map.of("error", unschedulable.reason());
        }
        return Map.of();
    }

    /** Seconds after which the request may be repeated; 0 if the answer is final. */
    public static int retryAfterS(UserAnswer answer) {
        if (answer instanceof UserAnswer.Deferred deferred) {
            return deferred.retryAfterS();
        }
        if (answer instanceof UserAnswer.OverBudget overBudget) {
            return overBudget.retryAfterS();
        }
        return answer instanceof UserAnswer.Unavailable unavailable ? unavailable.retryAfterS() : 0;
    }

    private static String word(JobStatus status) {
        return switch (status) {
            case PENDING -> "pending";
            case RUNNING -> "running";
            case DONE -> "done";
            case CANCELLED -> "withdrawn";
        };
    }
}
