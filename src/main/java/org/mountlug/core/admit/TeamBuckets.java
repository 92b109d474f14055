package org.mountlug.core.admit;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Token buckets with borrowing, one bucket a team and one that they share. A team's bucket fills at its share of the rate;
 * what a full bucket cannot hold goes to the common one, from which any team may borrow. So a team that asks within its
 * share always finds a token, and what teams leave is used by the others. A token pays for one change.
 */
final class TeamBuckets {
    private static final class Bucket {
        final double weight;
        double tokens;

        Bucket(double weight) {
            this.weight = weight;
        }
    }

    private final Map<String, Bucket> teams = new LinkedHashMap<>();
    private final double teamBurstLeast;
    private final double burstS;
    private double weights;
    private double common;
    private double filledS = Double.NaN;

    /**
     * Full buckets.
     *
     * @param weights the teams' weights, above 0
     * @param ratePerS tokens a second by which the first fill is reckoned
     * @param burstS seconds' worth of its rate that a bucket holds
     * @param teamBurstLeast tokens that a team's bucket holds at the least, at least 1
     */
    TeamBuckets(Map<String, Double> weights, double ratePerS, double burstS, double teamBurstLeast) {
        this.burstS = burstS;
        this.teamBurstLeast = Math.max(1, teamBurstLeast);
        weights.forEach((team, weight) -> teams.put(team, new Bucket(weight)));
        weights.values().forEach(weight -> this.weights += weight);
        teams.values().forEach(bucket -> bucket.tokens = burst(bucket, ratePerS));
        common = commonBurst(ratePerS);
    }

    private double rate(Bucket bucket, double ratePerS) {
        return ratePerS * bucket.weight / weights;
    }

    private double burst(Bucket bucket, double ratePerS) {
        return Math.max(teamBurstLeast, rate(bucket, ratePerS) * burstS);
    }

    private double commonBurst(double ratePerS) {
        return Math.max(1, ratePerS * burstS);
    }

    /** Fills the buckets up to a time, at a rate that may differ from call to call. */
    void fill(double ratePerS, double nowS) {
        double elapsedS = Double.isNaN(filledS) ? 0 : Math.max(0, nowS - filledS);
        filledS = nowS;
        for (Bucket bucket : teams.values()) {
            bucket.tokens += rate(bucket, ratePerS) * elapsedS;
            double excess = bucket.tokens - burst(bucket, ratePerS);
            if (excess > 0) {
                bucket.tokens -= excess;
                common += excess;
            }
        }
        common = Math.min(common, commonBurst(ratePerS));
    }

    /**
     * Takes a token of the team's, or else a common one; false if there is neither.
     *
     * @param overdraft tokens that the team may owe after that; it gets no others before they are paid
     */
    boolean take(String team, double overdraft) {
        Bucket bucket = teams.get(team);
        if (bucket == null) {
            return false;
        }
        if (bucket.tokens >= 1) {
            bucket.tokens--;
        } else if (common >= 1) {
            common--;
        } else if (bucket.tokens - 1 >= -overdraft) {
            bucket.tokens--;
        } else {
            return false;
        }
        return true;
    }

    /** Pays for a change that waits for no token; submissions wait until the debt is paid, which is bounded. */
    void spend(double ratePerS) {
        common = Math.max(-commonBurst(ratePerS), common - 1);
    }
}
