package org.mountlug.node;

/** Counts the workers' reports of the last seconds, in buckets of one second. */
final class ReportCounter {
    private final int[] countsBySecond;
    private long latestSecond = Long.MIN_VALUE;

    ReportCounter(double windowS) {
        this.countsBySecond = new int[(int) Math.ceil(windowS) + 1];
    }

    /** Clears the buckets of the seconds that have passed since the last call. */
    private void advanceTo(double nowS) {
        long second = (long) Math.floor(nowS);
        if (latestSecond == Long.MIN_VALUE) {
            latestSecond = second;
        }
        for (long k = Math.max(latestSecond + 1, second - countsBySecond.length + 1); k <= second; k++) {
            countsBySecond[(int) (k % countsBySecond.length)] = 0;
        }
        latestSecond = Math.max(latestSecond, second);
    }

    void recordReport(double nowS) {
        advanceTo(nowS);
        countsBySecond[(int) (latestSecond % countsBySecond.length)]++;
    }

    /** Returns the number of reports within the window and up to a second before it. */
    int recentCount(double nowS) {
        advanceTo(nowS);
        int total = 0;
        for (int count : countsBySecond) {
            total += count;
        }
        return total;
    }
}
