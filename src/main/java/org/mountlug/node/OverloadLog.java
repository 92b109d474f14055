package org.mountlug.node;

import org.mountlug.Constants;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Logs when users' requests begin to exceed the rate limit, and when they are within it again. */
final class OverloadLog {
    private static final Logger LOG = LoggerFactory.getLogger(OverloadLog.class);

    private long lastRateLimitedCount;
    private long rateLimitedCountAtOnset;
    private double lastRateLimitedS = Double.NEGATIVE_INFINITY;
    private boolean overloaded;

    /**
     * Observes the load; to be called at each tick.
     *
     * @param rateLimitedCount users' requests that were rejected because of the rate limit so far
     */
    void observe(long rateLimitedCount, double nowS) {
        if (rateLimitedCount > lastRateLimitedCount) {
            lastRateLimitedS = nowS;
            if (!overloaded) {
                overloaded = true;
                rateLimitedCountAtOnset = lastRateLimitedCount;
                LOG.info("users' requests exceed this controller's rate limit: rejecting them with status 429");
            }
        } else if (overloaded && nowS - lastRateLimitedS > Constants.OVERLOAD_CLEAR_S) {
            overloaded = false;
            LOG.info(
                    "users' requests are within the rate limit again, {} were rejected",
                    rateLimitedCount - rateLimitedCountAtOnset);
        }
        lastRateLimitedCount = rateLimitedCount;
    }

    boolean isOverloaded() {
        return overloaded;
    }
}
