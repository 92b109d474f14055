package org.mountlug.core.admit;

import java.util.LinkedHashMap;
import java.util.Map;
import org.mountlug.Constants;

/**
 * Token buckets with borrowing on three levels: one a queue, one a team, and one that all share. A team's share of the rate
 * flows evenly into the buckets of its queues; what a full bucket cannot hold flows on to its team's, and from a full team's to
 * the common one. So a queue that is asked within its part always finds a token, and what is left is used by the others. A token
 * pays for one change.
 */
final class TeamTokenBuckets {
    private static final class Bucket {
        double tokens;
        double usedS;

        /** Adds tokens and returns what the bucket cannot hold. */
        double fill(double added, double burst) {
            tokens += added;
            double excess = Math.max(0, tokens - burst);
            tokens -= excess;
            return excess;
        }
    }

    private static final class Team {
        final double weight;
        final Bucket own = new Bucket();
        final Map<String, Bucket> classes = new LinkedHashMap<>();

        Team(double weight) {
            this.weight = weight;
        }
    }

    private final Map<String, Team> teams = new LinkedHashMap<>();
    private final double burstLeast;
    private final double burstS;
    private final Bucket common = new Bucket();
    private double weights;
    private double filledS = Double.NaN;

    /**
     * Full buckets.
     *
     * @param weights the teams' weights, above 0
     * @param ratePerS tokens a second by which the first fill is reckoned
     * @param burstS seconds' worth of its rate that a bucket holds
     * @param burstLeast tokens that the bucket of a team or queue holds at the least, at least 1
     */
    TeamTokenBuckets(Map<String, Double> weights, double ratePerS, double burstS, double burstLeast) {
        this.burstS = burstS;
        this.burstLeast = Math.max(1, burstLeast);
        weights.forEach((team, weight) -> teams.put(team, new Team(weight)));
        weights.values().forEach(weight -> this.weights += weight);
        teams.values().forEach(team -> team.own.tokens = teamBurst(team, ratePerS));
        common.tokens = burst(ratePerS);
    }

    private double teamRate(Team team, double ratePerS) {
        return ratePerS * team.weight / weights;
    }

    private double teamBurst(Team team, double ratePerS) {
        return Math.max(burstLeast, teamRate(team, ratePerS) * burstS);
    }

    private double burst(double ratePerS) {
        return Math.max(1, ratePerS * burstS);
    }

    /** Fills the buckets up to a time, at a rate that may differ from call to call. */
    void refill(double ratePerS, double nowS) {
        double elapsedS = Double.isNaN(filledS) ? 0 : Math.max(0, nowS - filledS);
        filledS = nowS;
        double left = 0;
        for (Team team : teams.values()) {
            left += refill(team, ratePerS, elapsedS);
        }
        common.fill(left, burst(ratePerS));
    }

    private double refill(Team team, double ratePerS, double elapsedS) {
        team.classes.values().removeIf(bucket -> filledS - bucket.usedS > Constants.Admission.CLASS_BUCKET_IDLE_S);
        double inflow = teamRate(team, ratePerS) * elapsedS;
        int classes = team.classes.size();
        if (classes > 0) {
            double classRatePerS = teamRate(team, ratePerS) / classes;
            double excess = 0;
            for (Bucket bucket : team.classes.values()) {
                excess += bucket.fill(inflow / classes, Math.max(burstLeast, burst(classRatePerS)));
            }
            inflow = excess;
        }
        return team.own.fill(inflow, teamBurst(team, ratePerS));
    }

    /**
     * Takes a token of the queue's, or else of its team's, or else a common one; false if there is none.
     *
     * @param overdraft tokens that the queue may owe after that; it gets no others before they are paid
     */
    boolean tryAcquire(QueueId queue, double overdraft) {
        Team team = teams.get(queue.team());
        if (team == null) {
            return false;
        }
        Bucket own = bucket(team, queue.jobClass());
        if (own.tokens >= 1) {
            own.tokens--;
        } else if (team.own.tokens >= 1) {
            team.own.tokens--;
        } else if (common.tokens >= 1) {
            common.tokens--;
        } else if (own.tokens - 1 >= -overdraft) {
            own.tokens--;
        } else {
            return false;
        }
        return true;
    }

    /** The queue's bucket. A new one is empty, so that a new name for a class buys nothing; beyond a bound they share one. */
    private Bucket bucket(Team team, String jobClass) {
        boolean room = team.classes.size() < Constants.Admission.MAX_CLASS_BUCKETS_PER_TEAM;
        String name = room || team.classes.containsKey(jobClass) ? jobClass : "";
        Bucket bucket = team.classes.computeIfAbsent(name, unseen -> new Bucket());
        bucket.usedS = filledS;
        return bucket;
    }

    /** Pays for a change that waits for no token; submissions wait until the debt is paid, which is bounded. */
    void charge(double ratePerS) {
        common.tokens = Math.max(-burst(ratePerS), common.tokens - 1);
    }
}
