package org.mountlug.api;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import org.mountlug.Constants;
import org.mountlug.agent.AgentCodec;
import org.mountlug.core.model.JobSpec;
import org.mountlug.core.model.Report;
import org.mountlug.core.model.Team;
import org.mountlug.node.Controller;
import org.mountlug.settings.Settings;
import org.mountlug.store.Change;
import org.mountlug.store.RecordCodec;
import org.mountlug.store.StateClient;
import org.mountlug.wire.Cbor;
import org.mountlug.wire.Fields;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/** What users, the load balancer and workers reach on {@code listen}. */
public final class Api implements HttpHandler {
    private static final Logger LOG = LoggerFactory.getLogger(Api.class);
    private static final HttpString RETRY_AFTER = Headers.RETRY_AFTER;

    private final Controller node;
    private final StateClient state;
    private final Map<String, Team> teams = new HashMap<>();
    private final int valueBytes;

    public Api(Controller node, StateClient state, Settings settings) {
        this.node = node;
        this.state = state;
        for (Team t : settings.teams()) teams.put(t.name(), t);
        valueBytes = (int) (settings.valueKb() * 1024 * Constants.VALUE_FILL);
    }

    @Override
    public void handleRequest(HttpServerExchange x) {
        String path = x.getRequestPath();
        HttpString method = x.getRequestMethod();
        if (path.equals("/up")) {
            if (!method.equals(Methods.GET)) empty(x, 405);
            else empty(x, node.healthy() ? 200 : 503);
            return;
        }
        if (path.equals("/metrics")) {
            if (!method.equals(Methods.GET)) empty(x, 405);
            else {
                x.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain; version=0.0.4");
                x.getResponseSender().send(node.metrics().scrape());
            }
            return;
        }
        if (path.equals("/work") || path.equals("/agent/beat")) {
            if (!method.equals(Methods.POST)) {
                empty(x, 405);
                return;
            }
            if (x.getRequestContentLength() > Constants.BODY_MAX) {
                x.setPersistent(false);
                answer(x, 400, Map.of("error", "body over 64 KiB"));
                return;
            }
            boolean beat = path.equals("/agent/beat");
            x.getRequestReceiver().receiveFullBytes(
                    (y, bytes) -> y.dispatch(SameThreadExecutor.INSTANCE, () -> {
                        if (beat) beat(y, bytes);
                        else submit(y, bytes);
                    }),
                    (y, e) -> empty(y, 400));
            return;
        }
        if (path.startsWith("/work/")) {
            String id = path.substring(6);
            if (id.endsWith("/abort")) {
                String job = id.substring(0, id.length() - 6);
                if (!method.equals(Methods.POST)) empty(x, 405);
                else x.getRequestReceiver().receiveFullBytes(
                        (y, bytes) -> y.dispatch(SameThreadExecutor.INSTANCE, () -> abort(y, job, Constants.ABORT_TRIES)),
                        (y, e) -> empty(y, 400));
                return;
            }
            if (id.indexOf('/') < 0) {
                if (!method.equals(Methods.GET)) empty(x, 405);
                else x.dispatch(SameThreadExecutor.INSTANCE, () -> poll(x, id));
                return;
            }
        }
        empty(x, 404);
    }

    private static void empty(HttpServerExchange x, int status) {
        x.setStatusCode(status);
        if (status == 429 || status == 503) x.getResponseHeaders().put(RETRY_AFTER, Constants.RETRY_AFTER_S);
        x.endExchange();
    }

    private static void answer(HttpServerExchange x, int status, Map<String, Object> body) {
        x.setStatusCode(status);
        if (status == 429 || status == 503) x.getResponseHeaders().put(RETRY_AFTER, Constants.RETRY_AFTER_S);
        x.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/cbor");
        x.getResponseSender().send(ByteBuffer.wrap(Cbor.write(body)));
    }

    private static Map<String, Object> status(String id, String status, int done, int running) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("nameId", id);
        m.put("status", status);
        m.put("done", done);
        m.put("running", running);
        return m;
    }

    // ---- workers ----------------------------------------------------------------------------------------------

    private void beat(HttpServerExchange x, byte[] bytes) {
        Report r;
        try {
            r = AgentCodec.report(Cbor.readMap(bytes));
        } catch (IOException e) {
            r = null;
        }
        if (r == null) {
            empty(x, 400);
            return;
        }
        Controller.Beat b = node.beat(r);
        if (b instanceof Controller.Beat.Orders o) {
            answer(x, 200, AgentCodec.answer(o.token(), o.orders()));
        } else if (b instanceof Controller.Beat.Elsewhere e) {
            answer(x, 421, e.leader() == null ? Map.of() : Map.of("foreman", e.leader()));
        } else empty(x, 503);
    }

    // ---- users ------------------------------------------------------------------------------------------------

    /** Tells what the state service knows of a job; live before finished, as records move only that way. */
    private interface Found {
        /** {@code record} is null unless live; {@code status} 0 means the state service was of no help. */
        void found(int status, Map<String, Object> record, long stamp);
    }

    private void find(String id, Found then) {
        state.get(RecordCodec.LIVE + id, Constants.POLL_TIMEOUT_MS, a -> {
            if (a.status() == 200) {
                then.found(200, Fields.map(a.body().get("v")), Fields.num(a.body(), "stamp", 0));
                return;
            }
            if (a.status() != 404) {
                then.found(0, null, 0);
                return;
            }
            state.get(RecordCodec.FINAL + id, Constants.POLL_TIMEOUT_MS, b -> {
                if (b.status() == 200) {
                    Map<String, Object> v = Fields.map(b.body().get("v"));
                    node.learnFinal(id, Fields.bool(v, "done"), (int) Fields.num(v, "n", 0));
                    then.found(200, null, 0);
                } else then.found(b.status() == 404 ? 404 : 0, null, 0);
            });
        });
    }

    private boolean answeredFinal(HttpServerExchange x, String id) {
        Boolean f = node.finalState(id);
        if (f == null) return false;
        answer(x, 200, status(id, f ? "done" : "withdrawn", f ? node.finalTasks(id) : 0, 0));
        return true;
    }

    private static Map<String, Object> live(String id, Map<String, Object> v) {
        if (Fields.bool(v, "x")) return status(id, "withdrawn", 0, 0);
        int running = 0;
        String p = Fields.str(v, "p", "");
        if (!p.isEmpty()) {
            running = 1;
            for (int i = 0; i < p.length(); i++) if (p.charAt(i) == ',') running++;
        }
        int done = 0;
        String d = Fields.str(v, "d", "");
        if (!d.isEmpty()) for (String r : d.split(",")) {
            int dash = r.indexOf('-');
            done += dash < 0 ? 1 : Integer.parseInt(r.substring(dash + 1)) - Integer.parseInt(r.substring(0, dash)) + 1;
        }
        return status(id, running > 0 ? "running" : "pending", done, running);
    }

    private void poll(HttpServerExchange x, String id) {
        if (!JobParser.validId(id)) {
            empty(x, 404);
            return;
        }
        if (answeredFinal(x, id)) return;
        if (!state.mayRead()) {
            empty(x, 429);
            return;
        }
        known(x, id, () -> empty(x, 404));
    }

    /** Answers with the job's current state, or does something else if no such job was ever accepted. */
    private void known(HttpServerExchange x, String id, Runnable unknown) {
        find(id, (status, record, stamp) -> {
            if (status == 404) unknown.run();
            else if (status == 0) empty(x, 503);
            else if (record == null) answeredFinal(x, id);
            else answer(x, 200, live(id, record));
        });
    }

    private void submit(HttpServerExchange x, byte[] bytes) {
        node.metrics().submitted();
        if (bytes.length > Constants.BODY_MAX) {
            answer(x, 400, Map.of("error", "body over 64 KiB"));
            return;
        }
        Map<String, Object> m;
        try {
            m = Cbor.readMap(bytes);
        } catch (IOException | RuntimeException e) {
            answer(x, 400, Map.of("error", "not a CBOR map"));
            return;
        }
        String id = Fields.str(m, "nameId");
        if (!JobParser.validId(id)) {
            answer(x, 400, Map.of("error", "nameId"));
            return;
        }
        if (answeredFinal(x, id)) return;
        if (!state.maySubmit()) {
            empty(x, 429);
            return;
        }
        JobSpec spec;
        try {
            spec = JobParser.parse(m, System.currentTimeMillis());
        } catch (JobParser.Malformed e) {
            LOG.debug("malformed {}: {}", id, e.getMessage());
            // An accepted job stays accepted, whatever a repeated body looks like.
            known(x, id, () -> answer(x, 400, Map.of("error", e.getMessage())));
            return;
        }
        if (node.knownTypes().isEmpty()) {
            known(x, id, () -> empty(x, 503));
            return;
        }
        String hopeless = JobParser.hopeless(spec, teams::get, node.knownTypes().values());
        if (hopeless != null) {
            known(x, id, () -> answer(x, 422, Map.of("error", hopeless)));
            return;
        }
        Map<String, Object> record = RecordCodec.fresh(spec);
        if (String.valueOf(record).length() > valueBytes / 2) {
            known(x, id, () -> answer(x, 400, Map.of("error", "description too long")));
            return;
        }
        Change c = new Change().guard(RecordCodec.LIVE + id, 0).guard(RecordCodec.FINAL + id, 0)
                .put(RecordCodec.LIVE + id, record);
        state.commit(c, a -> {
            if (a.status() == 200) {
                Map<String, Object> ok = new LinkedHashMap<>();
                ok.put("nameId", id);
                ok.put("status", "pending");
                answer(x, 201, ok);
            } else if (a.status() == 409) {
                known(x, id, () -> empty(x, 503));
            } else empty(x, a.status() == 429 ? 429 : 503);
        });
    }

    private void abort(HttpServerExchange x, String id, int tries) {
        if (!JobParser.validId(id)) {
            empty(x, 404);
            return;
        }
        if (answeredFinal(x, id)) return;
        if (tries == 0 || !state.maySubmit()) {
            empty(x, tries == 0 ? 503 : 429);
            return;
        }
        find(id, (status, record, stamp) -> {
            if (status == 404) empty(x, 404);
            else if (status == 0) empty(x, 503);
            else if (record == null) answeredFinal(x, id);
            else if (Fields.bool(record, "x")) answer(x, 200, status(id, "withdrawn", 0, 0));
            else {
                Map<String, Object> v = new LinkedHashMap<>(record);
                v.put("x", true);
                state.commit(new Change().guard(RecordCodec.LIVE + id, stamp).put(RecordCodec.LIVE + id, v), a -> {
                    if (a.status() == 200) {
                        node.abortAccepted(id);
                        answer(x, 200, status(id, "withdrawn", 0, 0));
                    } else if (a.status() == 409) abort(x, id, tries - 1);
                    else empty(x, 503);
                });
            }
        });
    }
}
