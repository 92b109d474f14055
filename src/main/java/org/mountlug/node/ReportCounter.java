package org.mountlug.node;

/** How many workers' reports came within the last seconds, by the second. */
final class ReportCounter {
    private final int[] counts;
    private long second = Long.MIN_VALUE;

    ReportCounter(double windowS) {
        this.counts = new int[(int) Math.ceil(windowS) + 1];
    }

    private void turnTo(double nowS) {
        long s = (long) Math.floor(nowS);
        if (second == Long.MIN_VALUE) {
            second = s;
        }
        for (long k = Math.max(second + 1, s - counts.length + 1); k <= s; k++) {
            counts[(int) (k % counts.length)] = 0;
        }
        second = Math.max(second, s);
    }

    void recordReport(double nowS) {
        turnTo(nowS);
        counts[(int) (second % counts.length)]++;
    }

    /** Reports within the window and up to a second more. */
    int recentCount(double nowS) {
        turnTo(nowS);
        int n = 0;
        for (int c : counts) {
            n += c;
        }
        return n;
    }
}
