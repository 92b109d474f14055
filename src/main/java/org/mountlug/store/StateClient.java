package org.mountlug.store;

import io.undertow.util.Methods;
import java.util.Map;
import java.util.function.Consumer;
import org.mountlug.Constants;
import org.mountlug.wire.HttpTransport;
import org.mountlug.wire.PooledHttpClient;

/**
 * The state service's calls. It knows when this node was last served, and keeps to this node's part of the budgets:
 * reads for users wait behind submissions, and watches have connections of their own. Every request that a user causes is
 * counted, so that polls, however many, leave the leader and the submissions their share.
 */
public final class StateClient {
    private final HttpTransport calls;
    private final HttpTransport watches;
    private final java.util.function.DoubleSupplier clockS;
    /** What users' requests of all kinds may ask; submissions and cancellations go ahead of it and leave polls the rest. */
    private final TokenBucket requests;

    private final TokenBucket submits;
    /** Steady seconds of the last answer that shows we are served, and of the last refusal. */
    private volatile double lastServedS = Double.NEGATIVE_INFINITY;

    private volatile double refusedS = Double.NEGATIVE_INFINITY;
    /** Steady seconds of the last answer that more was asked than the state service takes. */
    private volatile double lastRateLimitedS = Double.NEGATIVE_INFINITY;

    /** @param nodes how many nodes draw on the same budget */
    public StateClient(
            HttpTransport calls,
            HttpTransport watches,
            java.util.function.DoubleSupplier clockS,
            double rps,
            int nodes) {
        this.calls = calls;
        this.watches = watches;
        this.clockS = clockS;
        double requests = rps * Constants.USER_REQUEST_SHARE / nodes;
        double submit = rps * Constants.SUBMIT_SHARE / nodes;
        this.requests = new TokenBucket(requests, requests * Constants.READ_BURST_S);
        this.submits = new TokenBucket(submit, submit * Constants.SUBMIT_BURST_S);
    }

    /** Takes a read for a user from the budget, false if none is left. */
    public boolean tryAcquireRead() {
        return requests.tryAcquire(clockS.getAsDouble(), 1);
    }

    /** Takes a further request for a user who has been let in already, so that later ones wait for it. */
    public void chargeRequest() {
        requests.charge(clockS.getAsDouble(), 1);
    }

    /** Takes a submission or cancellation from the budget, false if none is left. */
    public boolean tryAcquireSubmission() {
        boolean may = submits.tryAcquire(clockS.getAsDouble(), 1);
        if (may) {
            chargeRequest();
        }
        return may;
    }

    /** Steady seconds at which the last request was sent that the state service served. */
    public double lastServedS() {
        return lastServedS;
    }

    /** Steady seconds at which the last request was sent that was more than the state service takes. */
    public double lastRateLimitedS() {
        return lastRateLimitedS;
    }

    /** Whether the last thing heard from the state service was an answer. */
    public boolean isServed() {
        return lastServedS >= refusedS;
    }

    private Consumer<PooledHttpClient.Response> noting(Consumer<PooledHttpClient.Response> then) {
        double asked = clockS.getAsDouble();
        return a -> {
            if (a.status() == 503 || a.isMissing()) {
                refusedS = Math.max(refusedS, asked);
            } else if (a.status() == 429) {
                lastRateLimitedS = Math.max(lastRateLimitedS, asked);
            } else {
                lastServedS = Math.max(lastServedS, asked);
            }
            then.accept(a);
        };
    }

    /** Reads a key. */
    public void get(String key, int timeoutMs, Consumer<PooledHttpClient.Response> then) {
        calls.call(Methods.GET, "/kv/" + key, null, timeoutMs, noting(then));
    }

    /** Reads a page of the keys with a prefix. */
    public void list(String prefix, String after, Consumer<PooledHttpClient.Response> then) {
        calls.call(
                Methods.GET,
                "/kv?prefix=" + prefix + (after == null ? "" : "&after=" + after) + "&page=1000",
                null,
                4 * Constants.STATE_TIMEOUT_MS,
                noting(then));
    }

    /** Sends a transaction. */
    public void commit(Transaction c, Consumer<PooledHttpClient.Response> then) {
        calls.call(Methods.POST, "/multi", c.body(), Constants.STATE_TIMEOUT_MS, noting(then));
    }

    /** Opens a lease. */
    public void openLease(int lifeMs, Consumer<PooledHttpClient.Response> then) {
        calls.call(Methods.POST, "/holds", Map.of("lifeMs", (long) lifeMs), Constants.STATE_TIMEOUT_MS, noting(then));
    }

    /** Renews a lease. */
    public void renewLease(long lease, Consumer<PooledHttpClient.Response> then) {
        calls.call(Methods.POST, "/holds/" + lease + "/touch", Map.of(), Constants.STATE_TIMEOUT_MS, noting(then));
    }

    /** Ends a lease at once. */
    public void revokeLease(long lease, Consumer<PooledHttpClient.Response> then) {
        calls.call(Methods.DELETE, "/holds/" + lease, null, Constants.STATE_TIMEOUT_MS, noting(then));
    }

    /** Opens a watch; an answer proves nothing of being served, as open watches survive outages. */
    public void watch(String prefix, long after, int blockMs, Consumer<PooledHttpClient.Response> then) {
        watches.call(
                Methods.GET,
                "/watch?prefix=" + prefix + "&after=" + after + "&blockMs=" + blockMs,
                null,
                blockMs + 3000,
                then);
    }
}
