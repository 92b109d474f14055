package org.mountlug.core.admit;

import java.util.LinkedHashMap;
import java.util.Map;
import org.mountlug.Constants;

/**
 * Token buckets with borrowing on three levels: one for each queue, one for each team, and one that all share. A
 * team's share of the rate flows evenly into the buckets of its queues; what a full bucket cannot hold overflows into
 * its team's bucket, and from a full team bucket into the shared one. A queue within its share therefore always finds
 * a token, and unused tokens are available to the other queues. A token pays for one write.
 */
final class TeamTokenBuckets {
    private static final class Bucket {
        double tokens;
        double lastUsedS;

        /** Adds tokens and returns what the bucket cannot hold. */
        double fill(double newTokens, double maxTokens) {
            tokens += newTokens;
            double excess = Math.max(0, tokens - maxTokens);
            tokens -= excess;
            return excess;
        }
    }

    private static final class Team {
        final double weight;
        final Bucket bucket = new Bucket();
        final Map<String, Bucket> bucketsByClass = new LinkedHashMap<>();

        Team(double weight) {
            this.weight = weight;
        }
    }

    private final Map<String, Team> teams = new LinkedHashMap<>();
    private final double minBurstTokens;
    private final double burstS;
    private final Bucket sharedBucket = new Bucket();
    private double totalWeight;
    private double refilledAtS = Double.NaN;

    /**
     * Creates full buckets.
     *
     * @param teamWeights the teams' weights, above 0
     * @param ratePerS tokens per second by which the initial content is computed
     * @param burstS seconds' worth of its rate that a bucket holds
     * @param minBurstTokens minimum capacity of the bucket of a team or queue; raised to 1 if lower
     */
    TeamTokenBuckets(Map<String, Double> teamWeights, double ratePerS, double burstS, double minBurstTokens) {
        this.burstS = burstS;
        this.minBurstTokens = Math.max(1, minBurstTokens);
        teamWeights.forEach((team, weight) -> teams.put(team, new Team(weight)));
        teamWeights.values().forEach(weight -> this.totalWeight += weight);
        teams.values().forEach(team -> team.bucket.tokens = teamBurstTokens(team, ratePerS));
        sharedBucket.tokens = burstTokens(ratePerS);
    }

    private double teamRatePerS(Team team, double ratePerS) {
        return ratePerS * team.weight / totalWeight;
    }

    private double teamBurstTokens(Team team, double ratePerS) {
        return Math.max(minBurstTokens, teamRatePerS(team, ratePerS) * burstS);
    }

    private double burstTokens(double ratePerS) {
        return Math.max(1, ratePerS * burstS);
    }

    /** Refills the buckets for the time since the last call, at a rate that may differ from call to call. */
    void refill(double ratePerS, double nowS) {
        double elapsedS = Double.isNaN(refilledAtS) ? 0 : Math.max(0, nowS - refilledAtS);
        refilledAtS = nowS;
        double excess = 0;
        for (Team team : teams.values()) {
            excess += refill(team, ratePerS, elapsedS);
        }
        sharedBucket.fill(excess, burstTokens(ratePerS));
    }

    private double refill(Team team, double ratePerS, double elapsedS) {
        team.bucketsByClass
                .values()
                .removeIf(bucket -> refilledAtS - bucket.lastUsedS > Constants.Admission.CLASS_BUCKET_IDLE_S);
        double inflow = teamRatePerS(team, ratePerS) * elapsedS;
        int classCount = team.bucketsByClass.size();
        if (classCount > 0) {
            double classRatePerS = teamRatePerS(team, ratePerS) / classCount;
            double excess = 0;
            for (Bucket bucket : team.bucketsByClass.values()) {
                excess += bucket.fill(inflow / classCount, Math.max(minBurstTokens, burstTokens(classRatePerS)));
            }
            inflow = excess;
        }
        return team.bucket.fill(inflow, teamBurstTokens(team, ratePerS));
    }

    /**
     * Takes a token from the queue's bucket, else from its team's, else from the shared one; returns false if all are
     * empty.
     *
     * @param overdraft tokens by which the queue's bucket may be in debt afterwards; refills repay the debt first
     */
    boolean tryAcquire(QueueId queue, double overdraft) {
        Team team = teams.get(queue.team());
        if (team == null) {
            return false;
        }
        Bucket queueBucket = bucketFor(team, queue.jobClass());
        if (queueBucket.tokens >= 1) {
            queueBucket.tokens--;
        } else if (team.bucket.tokens >= 1) {
            team.bucket.tokens--;
        } else if (sharedBucket.tokens >= 1) {
            sharedBucket.tokens--;
        } else if (queueBucket.tokens - 1 >= -overdraft) {
            queueBucket.tokens--;
        } else {
            return false;
        }
        return true;
    }

    /**
     * Returns the queue's bucket. A new bucket is empty, so that a new class name gains no tokens; beyond a maximum
     * number the classes of a team share one bucket.
     */
    private Bucket bucketFor(Team team, String jobClass) {
        boolean hasRoomForClass = team.bucketsByClass.size() < Constants.Admission.MAX_CLASS_BUCKETS_PER_TEAM;
        String name = hasRoomForClass || team.bucketsByClass.containsKey(jobClass) ? jobClass : "";
        Bucket bucket = team.bucketsByClass.computeIfAbsent(name, unseen -> new Bucket());
        bucket.lastUsedS = refilledAtS;
        return bucket;
    }

    /**
     * Charges a write that does not wait for a token. Submissions wait until the debt is repaid; the debt is at most
     * what a full shared bucket holds.
     *
     * @param ratePerS tokens per second, from which the content of a full shared bucket is computed
     */
    void charge(double ratePerS) {
        sharedBucket.tokens = Math.max(-burstTokens(ratePerS), sharedBucket.tokens - 1);
    }
}
