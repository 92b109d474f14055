package org.mountlug.api;

import java.util.Map;
import java.util.function.Consumer;
import org.mountlug.Constants;
import org.mountlug.node.Controller;
import org.mountlug.store.StateClient;
import org.mountlug.store.StateKeys;
import org.mountlug.wire.Fields;
import org.mountlug.wire.PooledHttpClient;

/** Finds a job in the state service: the live record before the finished one, as records move only that way. */
final class JobLookup {
    /** What the state service knows of a job. */
    sealed interface Result {
        /** The job is live; {@code revision} is that of its record. */
        record Live(Map<String, Object> record, long revision) implements Result {}

        /** The job is over, and its final state is cached from now on. */
        record Finished() implements Result {}

        /** The job was never accepted. */
        record Unknown() implements Result {}

        /** The state service was of no help. */
        record Unavailable() implements Result {}
    }

    private final Controller node;
    private final StateClient state;

    JobLookup(Controller node, StateClient state) {
        this.node = node;
        this.state = state;
    }

    /** Looks the job up; {@code then} runs once. The first request is the caller's to take from the budget. */
    void find(String jobId, Consumer<Result> then) {
        state.get(StateKeys.LIVE_JOBS + jobId, Constants.POLL_TIMEOUT_MS, answer -> {
            if (answer.status() == 200) {
                then.accept(new Result.Live(
                        Fields.asMap(answer.body().get("v")), Fields.getLong(answer.body(), "stamp", 0)));
            } else if (answer.status() == 404) {
                findFinished(jobId, then);
            } else {
                then.accept(new Result.Unavailable());
            }
        });
    }

    private void findFinished(String jobId, Consumer<Result> then) {
        state.chargeRequest();
        state.get(
                StateKeys.FINAL_RECORDS + jobId,
                Constants.POLL_TIMEOUT_MS,
                answer -> then.accept(finished(jobId, answer)));
    }

    private Result finished(String jobId, PooledHttpClient.Response answer) {
        if (answer.status() == 200) {
            Map<String, Object> record = Fields.asMap(answer.body().get("v"));
            node.cacheFinalState(jobId, Fields.getBoolean(record, "done"), (int) Fields.getLong(record, "n", 0));
            return new Result.Finished();
        }
        return answer.status() == 404 ? new Result.Unknown() : new Result.Unavailable();
    }
}
