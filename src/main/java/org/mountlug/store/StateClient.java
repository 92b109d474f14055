package org.mountlug.store;

import io.undertow.util.Methods;
import java.util.Map;
import java.util.function.Consumer;
import org.mountlug.Constants;
import org.mountlug.wire.HttpTransport;
import org.mountlug.wire.PooledHttpClient;

/**
 * Sends requests to the state service. It records when the state service was last available to this controller, and
 * keeps to this controller's part of the rate limits: users' reads wait behind submissions, and watches have
 * connections of their own. Every request that a user causes is counted, so that polls, however many, leave the leader
 * and the submissions their share.
 */
public final class StateClient {
    private final HttpTransport requestTransport;
    private final HttpTransport watchTransport;
    private final java.util.function.DoubleSupplier clockS;
    /**
     * Rate limit of users' requests of all kinds. Submissions and cancellations are charged to it without waiting, and
     * polls get the rest.
     */
    private final TokenBucket userRequests;

    /** Rate limit of submissions and cancellations. */
    private final TokenBucket submissions;
    /**
     * Monotonic seconds at which the last request was sent to which the state service responded with neither 429 nor
     * 503.
     */
    private volatile double lastAvailableS = Double.NEGATIVE_INFINITY;

    /** Monotonic seconds at which the last request was sent that got no response or 503. */
    private volatile double lastUnavailableS = Double.NEGATIVE_INFINITY;
    /**
     * Monotonic seconds at which the last request was sent that exceeded the rate limit of the state service (429).
     */
    private volatile double lastRateLimitedS = Double.NEGATIVE_INFINITY;

    /**
     * Creates a client.
     *
     * @param clockS monotonic clock in seconds
     * @param stateRps requests per second that the state service accepts from all controllers together
     * @param controllerCount how many controllers share these requests
     */
    public StateClient(
            HttpTransport requestTransport,
            HttpTransport watchTransport,
            java.util.function.DoubleSupplier clockS,
            double stateRps,
            int controllerCount) {
        this.requestTransport = requestTransport;
        this.watchTransport = watchTransport;
        this.clockS = clockS;
        double userRequestsPerS = stateRps * Constants.USER_REQUEST_SHARE / controllerCount;
        double submissionsPerS = stateRps * Constants.SUBMIT_SHARE / controllerCount;
        this.userRequests = new TokenBucket(userRequestsPerS, userRequestsPerS * Constants.READ_BURST_S);
        this.submissions = new TokenBucket(submissionsPerS, submissionsPerS * Constants.SUBMIT_BURST_S);
    }

    /** Acquires a token for a user's read; returns false if none is left. */
    public boolean tryAcquireRead() {
        return userRequests.tryAcquire(clockS.getAsDouble(), 1);
    }

    /** Charges a further request of a user who has already acquired a token, so that later requests wait for it. */
    public void chargeRequest() {
        userRequests.charge(clockS.getAsDouble(), 1);
    }

    /** Acquires a token for a submission or cancellation; returns false if none is left. */
    public boolean tryAcquireSubmission() {
        boolean acquired = submissions.tryAcquire(clockS.getAsDouble(), 1);
        if (acquired) {
            chargeRequest();
        }
        return acquired;
    }

    /**
     * Returns the monotonic seconds at which the last request was sent to which the state service responded with
     * neither 429 nor 503.
     */
    public double lastAvailableS() {
        return lastAvailableS;
    }

    /**
     * Returns the monotonic seconds at which the last request was sent that exceeded the rate limit of the state
     * service.
     */
    public double lastRateLimitedS() {
        return lastRateLimitedS;
    }

    /**
     * Whether the state service is available: no request that got 503 or no response was sent after the one at
     * {@link #lastAvailableS}.
     */
    public boolean isAvailable() {
        return lastAvailableS >= lastUnavailableS;
    }

    private Consumer<PooledHttpClient.Response> recordingAvailability(Consumer<PooledHttpClient.Response> onResponse) {
        double sentS = clockS.getAsDouble();
        return response -> {
            if (response.status() == 503 || response.isMissing()) {
                lastUnavailableS = Math.max(lastUnavailableS, sentS);
            } else if (response.status() == 429) {
                lastRateLimitedS = Math.max(lastRateLimitedS, sentS);
            } else {
                lastAvailableS = Math.max(lastAvailableS, sentS);
            }
            onResponse.accept(response);
        };
    }

    /** Reads a key. */
    public void get(String key, int timeoutMs, Consumer<PooledHttpClient.Response> onResponse) {
        requestTransport.call(Methods.GET, "/kv/" + key, null, timeoutMs, recordingAvailability(onResponse));
    }

    /**
     * Reads a page of the keys with a prefix.
     *
     * @param after the last key of the previous page, or null for the first page
     */
    public void list(String prefix, String after, Consumer<PooledHttpClient.Response> onResponse) {
        requestTransport.call(
                Methods.GET,
                "/kv?prefix=" + prefix + (after == null ? "" : "&after=" + after) + "&page=1000",
                null,
                4 * Constants.STATE_TIMEOUT_MS,
                recordingAvailability(onResponse));
    }

    /** Sends a transaction. */
    public void commit(Transaction transaction, Consumer<PooledHttpClient.Response> onResponse) {
        requestTransport.call(
                Methods.POST,
                "/multi",
                transaction.body(),
                Constants.STATE_TIMEOUT_MS,
                recordingAvailability(onResponse));
    }

    /**
     * Opens a lease.
     *
     * @param lifeMs milliseconds after which the lease ends if it is not renewed
     */
    public void openLease(int lifeMs, Consumer<PooledHttpClient.Response> onResponse) {
        requestTransport.call(
                Methods.POST,
                "/holds",
                Map.of("lifeMs", (long) lifeMs),
                Constants.STATE_TIMEOUT_MS,
                recordingAvailability(onResponse));
    }

    /** Renews a lease. */
    public void renewLease(long lease, Consumer<PooledHttpClient.Response> onResponse) {
        requestTransport.call(
                Methods.POST,
                "/holds/" + lease + "/touch",
                Map.of(),
                Constants.STATE_TIMEOUT_MS,
                recordingAvailability(onResponse));
    }

    /** Ends a lease at once. */
    public void revokeLease(long lease, Consumer<PooledHttpClient.Response> onResponse) {
        requestTransport.call(
                Methods.DELETE, "/holds/" + lease, null, Constants.STATE_TIMEOUT_MS, recordingAvailability(onResponse));
    }

    /**
     * Opens a watch. Its response is not recorded as a sign of availability, as open watches survive outages.
     *
     * @param after revision after which changes are reported
     * @param blockMs milliseconds after which the state service responds if nothing has changed
     */
    public void watch(String prefix, long after, int blockMs, Consumer<PooledHttpClient.Response> onResponse) {
        watchTransport.call(
                Methods.GET,
                "/watch?prefix=" + prefix + "&after=" + after + "&blockMs=" + blockMs,
                null,
                blockMs + 3000,
                onResponse);
    }
}
