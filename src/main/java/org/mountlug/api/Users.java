package org.mountlug.api;

import java.io.IOException;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import org.mountlug.Constants;
import org.mountlug.core.model.JobSpec;
import org.mountlug.core.model.Team;
import org.mountlug.node.Controller;
import org.mountlug.settings.Settings;
import org.mountlug.store.Change;
import org.mountlug.store.RecordCodec;
import org.mountlug.store.StateClient;
import org.mountlug.store.StateKeys;
import org.mountlug.wire.Cbor;
import org.mountlug.wire.Fields;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What users ask: submissions, polls and aborts, on any node, each decided by the job's record. */
public final class Users {
    private static final Logger LOG = LoggerFactory.getLogger(Users.class);

    /** How an answer leaves; a null body sends none. */
    public interface Reply {
        /** Answers the request; called once. */
        void send(int status, Map<String, Object> body);
    }

    private final Controller node;
    private final StateClient state;
    private final LongSupplier epochMs;
    private final Map<String, Team> teams = new HashMap<>();
    private final int valueBytes;

    /** Decides the requests of users that reach this controller. */
    public Users(Controller node, StateClient state, Settings settings, LongSupplier epochMs) {
        this.node = node;
        this.state = state;
        this.epochMs = epochMs;
        for (Team t : settings.teams()) {
            teams.put(t.name(), t);
        }
        valueBytes = (int) (settings.leastValueKb() * 1024 * Constants.VALUE_FILL);
    }

    private static Map<String, Object> status(String id, String status, int done, int running) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("nameId", id);
        m.put("status", status);
        m.put("done", done);
        m.put("running", running);
        return m;
    }

    /** Tells what the state service knows of a job; live before finished, as records move only that way. */
    private interface Found {
        /** {@code record} is null unless live; {@code status} 0 means the state service was of no help. */
        void found(int status, Map<String, Object> record, long stamp);
    }

    private void find(String id, Found then) {
        state.get(StateKeys.LIVE + id, Constants.POLL_TIMEOUT_MS, a -> {
            if (a.status() == 200) {
                then.found(200, Fields.map(a.body().get("v")), Fields.num(a.body(), "stamp", 0));
                return;
            }
            if (a.status() != 404) {
                then.found(0, null, 0);
                return;
            }
            state.spendRequest();
            state.get(StateKeys.FINAL + id, Constants.POLL_TIMEOUT_MS, b -> {
                if (b.status() == 200) {
                    Map<String, Object> v = Fields.map(b.body().get("v"));
                    node.learnFinal(id, Fields.bool(v, "done"), (int) Fields.num(v, "n", 0));
                    then.found(200, null, 0);
                } else {
                    then.found(b.status() == 404 ? 404 : 0, null, 0);
                }
            });
        });
    }

    private boolean answeredFinal(Reply x, String id) {
        Boolean f = node.finalState(id);
        if (f == null) {
            return false;
        }
        x.send(200, status(id, f ? "done" : "withdrawn", f ? node.finalTasks(id) : 0, 0));
        return true;
    }

    /** Answers from a live record. */
    private void answerLive(Reply x, String id, Map<String, Object> v) {
        if (Fields.bool(v, "x")) {
            answerCancelled(x, id);
            return;
        }
        int[] counts = RecordCodec.counts(v);
        x.send(200, status(id, counts[1] > 0 ? "running" : "pending", counts[0], counts[1]));
    }

    /**
     * The only way on which a user hears that a job is cancelled whose record is still live, be it from the abort itself,
     * from a poll or from a repeated submission, at whichever node. The abort's own answer may have been lost, so any of
     * them may be the first to tell, and from then on {@code cancel_s} counts: first the leader must be able to know.
     */
    private void answerCancelled(Reply x, String id) {
        node.abortAccepted(id);
        x.send(200, status(id, "withdrawn", 0, 0));
    }

    /** Refuses at once what may have waited in its socket until nobody waits for the answer. */
    private boolean shed(Reply x) {
        boolean shed = node.shedsRequests();
        if (shed) {
            x.send(503, null);
        }
        return shed;
    }

    /** Answers a question about the state of a job. */
    public void poll(String id, Reply x) {
        if (shed(x)) {
            return;
        }
        if (!JobParser.validId(id)) {
            x.send(404, null);
            return;
        }
        if (answeredFinal(x, id)) {
            return;
        }
        if (!state.takeRead()) {
            x.send(429, null);
            return;
        }
        known(x, id, () -> x.send(404, null));
    }

    /** Answers with the job's current state, or does something else if no such job was ever accepted. */
    private void known(Reply x, String id, Runnable unknown) {
        find(id, (status, record, stamp) -> {
            if (status == 404) {
                unknown.run();
            } else if (status == 0) {
                x.send(503, null);
            } else if (record == null) {
                answeredFinal(x, id);
            } else {
                answerLive(x, id, record);
            }
        });
    }

    /** Takes a job in, or says why not. */
    public void submit(byte[] bytes, Reply x) {
        node.metrics().submitted();
        if (shed(x)) {
            return;
        }
        if (bytes.length > Constants.BODY_MAX) {
            x.send(400, Map.of("error", "body over 64 KiB"));
            return;
        }
        Map<String, Object> m;
        try {
            m = Cbor.readMap(bytes);
        } catch (IOException | RuntimeException e) {
            x.send(400, Map.of("error", "not a CBOR map"));
            return;
        }
        String id = Fields.str(m, "nameId");
        if (!JobParser.validId(id)) {
            x.send(400, Map.of("error", "nameId"));
            return;
        }
        if (answeredFinal(x, id)) {
            return;
        }
        if (!state.takeSubmission()) {
            x.send(429, null);
            return;
        }
        JobSpec spec;
        try {
            spec = JobParser.parse(m, epochMs.getAsLong());
        } catch (JobParser.Malformed e) {
            LOG.debug("malformed {}: {}", id, e.getMessage());
            // An accepted job stays accepted, whatever a repeated body looks like.
            known(x, id, () -> x.send(400, Map.of("error", e.getMessage())));
            return;
        }
        if (node.knownTypes().isEmpty()) {
            known(x, id, () -> x.send(503, null));
            return;
        }
        String hopeless = JobParser.hopeless(spec, teams::get, node.knownTypes().values());
        if (hopeless != null) {
            known(x, id, () -> x.send(422, Map.of("error", hopeless)));
            return;
        }
        if (!RecordCodec.fits(spec, valueBytes)) {
            spec = spec.narrowed(node.knownTypes().keySet());
        }
        if (!RecordCodec.fits(spec, valueBytes)) {
            known(x, id, () -> x.send(400, Map.of("error", "description too long for the state service's limit")));
            return;
        }
        Map<String, Object> record = RecordCodec.fresh(spec);
        Change c = new Change()
                .guard(StateKeys.LIVE + id, 0)
                .guard(StateKeys.FINAL + id, 0)
                .put(StateKeys.LIVE + id, record);
        state.commit(c, a -> {
            if (a.status() == 200) {
                Map<String, Object> ok = new LinkedHashMap<>();
                ok.put("nameId", id);
                ok.put("status", "pending");
                x.send(201, ok);
            } else if (a.status() == 409) {
                state.spendRequest();
                known(x, id, () -> x.send(503, null));
            } else {
                x.send(a.status() == 429 ? 429 : 503, null);
            }
        });
    }

    /** Cancels a job, or answers that it is done already. */
    public void abort(String id, Reply x) {
        if (shed(x)) {
            return;
        }
        abort(x, id, Constants.ABORT_TRIES);
    }

    private void abort(Reply x, String id, int tries) {
        if (!JobParser.validId(id)) {
            x.send(404, null);
            return;
        }
        if (answeredFinal(x, id)) {
            return;
        }
        if (tries == 0 || !state.takeSubmission()) {
            x.send(tries == 0 ? 503 : 429, null);
            return;
        }
        find(id, (status, record, stamp) -> {
            if (status == 404) {
                x.send(404, null);
            } else if (status == 0) {
                x.send(503, null);
            } else if (record == null) {
                answeredFinal(x, id);
            } else if (Fields.bool(record, "x")) {
                answerCancelled(x, id);
            } else {
                Map<String, Object> v = new LinkedHashMap<>(record);
                v.put("x", true);
                state.spendRequest();
                state.commit(new Change().guard(StateKeys.LIVE + id, stamp).put(StateKeys.LIVE + id, v), a -> {
                    if (a.status() == 200) {
                        answerCancelled(x, id);
                    } else if (a.status() == 409) {
                        abort(x, id, tries - 1);
                    }
                    // Too large to be written back since the limits were lowered: the leader rewrites such records
                    // first.
                    else {
                        x.send(a.status() == 429 ? 429 : 503, null);
                    }
                });
            }
        });
    }
}
