package org.mountlug.node;

import org.mountlug.Constants;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Notes in the log when users begin to ask more than the budget allows, and when that is over. */
final class OverloadLog {
    private static final Logger LOG = LoggerFactory.getLogger(OverloadLog.class);

    private long refusedBefore;
    private long refusedAtFirst;
    private double lastS = Double.NEGATIVE_INFINITY;
    private boolean overloaded;

    /** Looks at the number of requests refused so far. */
    void observe(long refused, double nowS) {
        if (refused > refusedBefore) {
            lastS = nowS;
            if (!overloaded) {
                overloaded = true;
                refusedAtFirst = refusedBefore;
                LOG.info("users ask more than this controller's part of the state service's budget: refusing with 429");
            }
        } else if (overloaded && nowS - lastS > Constants.OVERLOAD_CLEAR_S) {
            overloaded = false;
            LOG.info("users' requests are within the budget again, {} were refused", refused - refusedAtFirst);
        }
        refusedBefore = refused;
    }

    boolean isOverloaded() {
        return overloaded;
    }
}
