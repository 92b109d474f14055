package org.mountlug.api;

import java.util.Map;
import java.util.function.Consumer;
import org.mountlug.Constants;
import org.mountlug.node.Controller;
import org.mountlug.store.StateClient;
import org.mountlug.store.StateKeys;
import org.mountlug.wire.Fields;
import org.mountlug.wire.Http;

/** Finds a job in the state service: the live record before the finished one, as records move only that way. */
final class JobLookup {
    /** What the state service knows of a job. */
    sealed interface Found {
        /** The job is live; {@code revision} is that of its record. */
        record Live(Map<String, Object> record, long revision) implements Found {}

        /** The job is over, and its final state is cached from now on. */
        record Finished() implements Found {}

        /** The job was never accepted. */
        record Unknown() implements Found {}

        /** The state service was of no help. */
        record Unserved() implements Found {}
    }

    private final Controller node;
    private final StateClient state;

    JobLookup(Controller node, StateClient state) {
        this.node = node;
        this.state = state;
    }

    /** Looks the job up; {@code then} runs once. The first request is the caller's to take from the budget. */
    void find(String jobId, Consumer<Found> then) {
        state.get(StateKeys.LIVE + jobId, Constants.POLL_TIMEOUT_MS, answer -> {
            if (answer.status() == 200) {
                then.accept(new Found.Live(Fields.map(answer.body().get("v")), Fields.num(answer.body(), "stamp", 0)));
            } else if (answer.status() == 404) {
                findFinished(jobId, then);
            } else {
                then.accept(new Found.Unserved());
            }
        });
    }

    private void findFinished(String jobId, Consumer<Found> then) {
        state.spendRequest();
        state.get(StateKeys.FINAL + jobId, Constants.POLL_TIMEOUT_MS, answer -> then.accept(finished(jobId, answer)));
    }

    private Found finished(String jobId, Http.Answer answer) {
        if (answer.status() == 200) {
            Map<String, Object> record = Fields.map(answer.body().get("v"));
            node.learnFinal(jobId, Fields.bool(record, "done"), (int) Fields.num(record, "n", 0));
            return new Found.Finished();
        }
        return answer.status() == 404 ? new Found.Unknown() : new Found.Unserved();
    }
}
