package org.mountlug.api;

import java.util.Map;
import org.mountlug.wire.Fields;

/** Answers to users as status codes and bodies; the only place that knows their words. */
public final class UserResponseCodec {
    private UserResponseCodec() {}

    /** The status code of an answer. */
    public static int status(UserResponse answer) {
        if (answer instanceof UserResponse.Accepted) {
            return 201;
        }
        if (answer instanceof UserResponse.JobState) {
            return 200;
        }
        if (answer instanceof UserResponse.UnknownJob) {
            return 404;
        }
        if (answer instanceof UserResponse.Malformed) {
            return 400;
        }
        if (answer instanceof UserResponse.Unschedulable) {
            return 422;
        }
        return answer instanceof UserResponse.Deferred || answer instanceof UserResponse.RateLimited ? 429 : 503;
    }

    /** The body of an answer; empty if it has none. */
    public static Map<String, Object> body(UserResponse answer) {
        if (answer instanceof UserResponse.Accepted accepted) {
            return Fields.orderedMap("nameId", accepted.jobId(), "status", word(JobStatus.PENDING));
        }
        if (answer instanceof UserResponse.JobState state) {
            return Fields.orderedMap(
                    "nameId", state.jobId(),
                    "status", word(state.status()),
                    "done", state.doneTasks(),
                    "running", state.runningTasks());
        }
        if (answer instanceof UserResponse.Malformed malformed) {
            return Map.of("error", malformed.problem());
        }
        if (answer instanceof UserResponse.Unschedulable unschedulable) {
            return Map.of("error", unschedulable.reason());
        }
        return Map.of();
    }

    /** Seconds after which the request may be repeated; 0 if the answer is final. */
    public static int retryAfterS(UserResponse answer) {
        if (answer instanceof UserResponse.Deferred deferred) {
            return deferred.retryAfterS();
        }
        if (answer instanceof UserResponse.RateLimited overBudget) {
            return overBudget.retryAfterS();
        }
        return answer instanceof UserResponse.Unavailable unavailable ? unavailable.retryAfterS() : 0;
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
