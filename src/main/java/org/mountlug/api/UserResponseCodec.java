package org.mountlug.api;

import java.util.Map;
import org.mountlug.wire.Fields;

/** Converts responses to users to status codes and bodies; only this class knows their field names and values. */
public final class UserResponseCodec {
    private UserResponseCodec() {}

    /** Returns the HTTP status code of a response. */
    public static int status(UserResponse response) {
        if (response instanceof UserResponse.Accepted) {
            return 201;
        }
        if (response instanceof UserResponse.JobState) {
            return 200;
        }
        if (response instanceof UserResponse.UnknownJob) {
            return 404;
        }
        if (response instanceof UserResponse.Malformed) {
            return 400;
        }
        if (response instanceof UserResponse.Unschedulable) {
            return 422;
        }
        return response instanceof UserResponse.Deferred || response instanceof UserResponse.RateLimited ? 429 : 503;
    }

    /** Returns the fields of a response's body; empty if it has no body. */
    public static Map<String, Object> body(UserResponse response) {
        if (response instanceof UserResponse.Accepted accepted) {
            return Fields.orderedMap("nameId", accepted.jobId(), "status", statusValue(JobStatus.PENDING));
        }
        if (response instanceof UserResponse.JobState jobState) {
            return Fields.orderedMap(
                    "nameId", jobState.jobId(),
                    "status", statusValue(jobState.status()),
                    "done", jobState.doneTasks(),
                    "running", jobState.placedTasks());
        }
        if (response instanceof UserResponse.Malformed malformed) {
            return Map.of("error", malformed.problem());
        }
        if (response instanceof UserResponse.Unschedulable unschedulable) {
            return Map.of("error", unschedulable.reason());
        }
        return Map.of();
    }

    /** Returns the seconds after which the request may be repeated; 0 if the response is final. */
    public static int retryAfterS(UserResponse response) {
        if (response instanceof UserResponse.Deferred deferred) {
            return deferred.retryAfterS();
        }
        if (response instanceof UserResponse.RateLimited rateLimited) {
            return rateLimited.retryAfterS();
        }
        return response instanceof UserResponse.Unavailable unavailable ? unavailable.retryAfterS() : 0;
    }

    private static String statusValue(JobStatus status) {
        return switch (status) {
            case PENDING -> "pending";
            case RUNNING -> "running";
            case DONE -> "done";
            case CANCELLED -> "withdrawn";
        };
    }
}
