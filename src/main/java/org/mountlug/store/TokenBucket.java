package org.mountlug.store;

/** A token bucket for a rate limit with bursts. The time is an argument, so that tests need no clock. */
public final class TokenBucket {
    private final double tokensPerS;
    private final double maxTokens;
    private double tokens;
    private double refilledAtS = Double.NaN;
    private double totalAcquired;

    /**
     * Creates a full bucket.
     *
     * @param tokensPerS tokens that it gains per second
     * @param maxTokens tokens that it holds; raised to 1 if lower
     */
    public TokenBucket(double tokensPerS, double maxTokens) {
        this.tokensPerS = tokensPerS;
        this.maxTokens = Math.max(1, maxTokens);
        this.tokens = this.maxTokens;
    }

    /**
     * Refills the bucket up to a time and returns its tokens, which are negative while it is in debt.
     *
     * @param nowS monotonic seconds
     */
    public synchronized double available(double nowS) {
        if (!Double.isNaN(refilledAtS)) {
            tokens = Math.min(maxTokens, tokens + Math.max(0, nowS - refilledAtS) * tokensPerS);
        }
        refilledAtS = nowS;
        return tokens;
    }

    /** Takes {@code count} tokens, or none and returns false if there are fewer. */
    public synchronized boolean tryAcquire(double nowS, double count) {
        if (available(nowS) + 1e-9 < count) {
            return false;
        }
        tokens -= count;
        totalAcquired += count;
        return true;
    }

    /** Takes {@code count} tokens even if there are fewer. The debt is at most the content of a full bucket. */
    public synchronized void charge(double nowS, double count) {
        tokens = Math.max(-maxTokens, available(nowS) - count);
        totalAcquired += count;
    }

    /** Returns the tokens taken since the bucket was created, including those charged. */
    public synchronized double totalAcquired() {
        return totalAcquired;
    }
}
