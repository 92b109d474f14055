package org.mountlug.api;

import java.util.Map;
import java.util.function.Consumer;
import org.mountlug.Constants;
import org.mountlug.node.Controller;
import org.mountlug.store.StateClient;
import org.mountlug.store.StateKeys;
import org.mountlug.wire.Fields;
import org.mountlug.wire.PooledHttpClient;

/**
 * Finds a job in the state service. The live record is read before the final one: a job's record only ever moves from live
 * to final, so reading in this order cannot miss it.
 */
final class JobLookup {
    /** The outcome of a lookup. */
    sealed interface Result {
        /** The job is live; {@code revision} is the revision of its record. */
        record Live(Map<String, Object> record, long revision) implements Result {}

        /** The job is finished; its final state has been cached in the controller. */
        record Finished() implements Result {}

        /** The job was never accepted: it has neither a live nor a final record. */
        record Unknown() implements Result {}

        /** The state service did not answer, or answered with an error. */
        record Unavailable() implements Result {}
    }

    private final Controller controller;
    private final StateClient state;

    JobLookup(Controller controller, StateClient state) {
        this.controller = controller;
        this.state = state;
    }

    /**
     * Looks the job up and calls {@code callback} once. The caller must already have counted the first request against the
     * rate limit; a second request is counted here.
     */
    void find(String jobId, Consumer<Result> callback) {
        state.get(StateKeys.LIVE_JOBS + jobId, Constants.POLL_TIMEOUT_MS, response -> {
            if (response.status() == 200) {
                callback.accept(new Result.Live(
                        Fields.asMap(response.body().get("v")), Fields.getLong(response.body(), "stamp", 0)));
            } else if (response.status() == 404) {
                findFinished(jobId, callback);
            } else {
                callback.accept(new Result.Unavailable());
            }
        });
    }

    private void findFinished(String jobId, Consumer<Result> callback) {
        state.chargeRequest();
        state.get(
                StateKeys.FINAL_RECORDS + jobId,
                Constants.POLL_TIMEOUT_MS,
                response -> callback.accept(readFinalRecord(jobId, response)));
    }

    private Result readFinalRecord(String jobId, PooledHttpClient.Response response) {
        if (response.status() == 200) {
            Map<String, Object> record = Fields.asMap(response.body().get("v"));
            controller.cacheFinalState(jobId, Fields.getBoolean(record, "done"), (int) Fields.getLong(record, "n", 0));
            return new Result.Finished();
        }
        return response.status() == 404 ? new Result.Unknown() : new Result.Unavailable();
    }
}
