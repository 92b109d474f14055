package org.mountlug.store;

import io.undertow.util.Methods;
import java.util.Map;
import java.util.function.Consumer;
import org.mountlug.Constants;
import org.mountlug.wire.Calls;
import org.mountlug.wire.Http;

/**
 * The state service's calls. It knows when this node was last served, and keeps to this node's part of the budgets:
 * reads for users wait behind submissions, and watches have connections of their own. Every request that a user causes is
 * counted, so that polls, however many, leave the leader and the submissions their share.
 */
public final class StateClient {
    private final Calls calls;
    private final Calls watches;
    private final java.util.function.DoubleSupplier clockS;
    /** What users' requests of all kinds may ask; submissions and cancellations go ahead of it and leave polls the rest. */
    private final Budget requests;

    private final Budget submits;
    /** Steady seconds of the last answer that shows we are served, and of the last refusal. */
    private volatile double servedS = Double.NEGATIVE_INFINITY;

    private volatile double refusedS = Double.NEGATIVE_INFINITY;
    /** Steady seconds of the last answer that more was asked than the state service takes. */
    private volatile double limitedS = Double.NEGATIVE_INFINITY;

    /** @param nodes how many nodes draw on the same budget */
    public StateClient(Calls calls, Calls watches, java.util.function.DoubleSupplier clockS, double rps, int nodes) {
        this.calls = calls;
        this.watches = watches;
        this.clockS = clockS;
        double requests = rps * Constants.USER_SHARE / nodes;
        double submit = rps * Constants.SUBMIT_SHARE / nodes;
        this.requests = new Budget(requests, requests * Constants.READ_BURST_S);
        this.submits = new Budget(submit, submit * Constants.SUBMIT_BURST_S);
    }

    /** Takes a read for a user from the budget, false if none is left. */
    public boolean takeRead() {
        return requests.take(clockS.getAsDouble(), 1);
    }

    /** Takes a further request for a user who has been let in already, so that later ones wait for it. */
    public void spendRequest() {
        requests.spend(clockS.getAsDouble(), 1);
    }

    /** Takes a submission or cancellation from the budget, false if none is left. */
    public boolean takeSubmission() {
        boolean may = submits.take(clockS.getAsDouble(), 1);
        if (may) {
            spendRequest();
        }
        return may;
    }

    /** Steady seconds at which the last request was sent that the state service served. */
    public double servedS() {
        return servedS;
    }

    /** Steady seconds at which the last request was sent that was more than the state service takes. */
    public double limitedS() {
        return limitedS;
    }

    /** Whether the last thing heard from the state service was an answer. */
    public boolean served() {
        return servedS >= refusedS;
    }

    private Consumer<Http.Answer> noting(Consumer<Http.Answer> then) {
        double asked = clockS.getAsDouble();
        return a -> {
            if (a.status() == 503 || a.none()) {
                refusedS = Math.max(refusedS, asked);
            } else if (a.status() == 429) {
                limitedS = Math.max(limitedS, asked);
            } else {
                servedS = Math.max(servedS, asked);
            }
            then.accept(a);
        };
    }

    /** Reads a key. */
    public void get(String key, int timeoutMs, Consumer<Http.Answer> then) {
        calls.call(Methods.GET, "/kv/" + key, null, timeoutMs, noting(then));
    }

    /** Reads a page of the keys with a prefix. */
    public void list(String prefix, String after, Consumer<Http.Answer> then) {
        calls.call(
                Methods.GET,
                "/kv?prefix=" + prefix + (after == null ? "" : "&after=" + after) + "&page=1000",
                null,
                4 * Constants.STATE_TIMEOUT_MS,
                noting(then));
    }

    /** Sends a transaction. */
    public void commit(Change c, Consumer<Http.Answer> then) {
        calls.call(Methods.POST, "/multi", c.body(), Constants.STATE_TIMEOUT_MS, noting(then));
    }

    /** Opens a lease. */
    public void openLease(int lifeMs, Consumer<Http.Answer> then) {
        calls.call(Methods.POST, "/holds", Map.of("lifeMs", (long) lifeMs), Constants.STATE_TIMEOUT_MS, noting(then));
    }

    /** Renews a lease. */
    public void renewLease(long lease, Consumer<Http.Answer> then) {
        calls.call(Methods.POST, "/holds/" + lease + "/touch", Map.of(), Constants.STATE_TIMEOUT_MS, noting(then));
    }

    /** Ends a lease at once. */
    public void dropLease(long lease, Consumer<Http.Answer> then) {
        calls.call(Methods.DELETE, "/holds/" + lease, null, Constants.STATE_TIMEOUT_MS, noting(then));
    }

    /** Opens a watch; an answer proves nothing of being served, as open watches survive outages. */
    public void watch(String prefix, long after, int blockMs, Consumer<Http.Answer> then) {
        watches.call(
                Methods.GET,
                "/watch?prefix=" + prefix + "&after=" + after + "&blockMs=" + blockMs,
                null,
                blockMs + 3000,
                then);
    }
}
