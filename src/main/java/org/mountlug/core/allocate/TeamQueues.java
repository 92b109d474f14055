package org.mountlug.core.allocate;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import org.mountlug.Constants;
import org.mountlug.core.model.Job;
import org.mountlug.core.model.Resources;
import org.mountlug.core.model.Team;
import org.mountlug.core.zone.DisplacementOrder;

/**
 * Orders jobs in one queue for each team and priority. Higher priorities go first. Within a priority the team that uses the
 * smallest share of its guarantee goes first, then teams that exceed theirs or have none, so that no team waits behind
 * another's backlog. While a zone is lost, suspected to be lost or returning, a {@link DisplacementOrder} replaces priorities
 * by its levels and decides between teams, except for teams within their guarantee. Both orders could starve a job, so a job
 * that has waited too long goes ahead until its first tasks are placed.
 */
public final class TeamQueues {
    /** Queues by level, lowest first, and by team. */
    private final TreeMap<Integer, Map<String, ArrayDeque<Job>>> queues = new TreeMap<>();
    /** Jobs without any placement so far that have waited too long; they go ahead of all queues, the oldest first. */
    private final ArrayDeque<Job> starvingJobs = new ArrayDeque<>();

    private final DisplacementOrder displacement;
    private final Function<String, Team> teamByName;
    private final Map<String, Resources> usageByTeam;
    private final Resources totalCapacity;

    /**
     * Sorts the jobs into their queues.
     *
     * @param orderKey key by which the jobs of a queue are sorted, lowest first; unused with a displacement order
     * @param displacement order of all work while a zone is not in state {@code PRESENT}, else null
     * @param teamByName returns the team of a name, or null
     * @param usageByTeam resources in use by team, which the caller updates as it places jobs
     * @param totalCapacity capacity of all machines together
     */
    public TeamQueues(
            Iterable<Job> jobs,
            ToDoubleFunction<Job> orderKey,
            DisplacementOrder displacement,
            Function<String, Team> teamByName,
            Map<String, Resources> usageByTeam,
            Resources totalCapacity,
            double nowS) {
        this.displacement = displacement;
        this.teamByName = teamByName;
        this.usageByTeam = usageByTeam;
        this.totalCapacity = totalCapacity;
        List<Job> sorted = new ArrayList<>();
        jobs.forEach(sorted::add);
        sorted.sort(
                displacement != null
                        ? displacement
                        : Comparator.comparingDouble(orderKey).thenComparing(job -> job.spec.id()));
        List<Job> starving = new ArrayList<>();
        for (Job job : sorted) {
            if (!job.everPlaced && nowS - job.waitingSinceS > Constants.STARVATION_LIMIT_S) {
                starving.add(job);
            } else {
                queues.computeIfAbsent(level(job), level -> new HashMap<>())
                        .computeIfAbsent(job.spec.team(), team -> new ArrayDeque<>())
                        .add(job);
            }
        }
        starving.sort(Comparator.comparingLong(job -> job.spec.submittedMs()));
        starvingJobs.addAll(starving);
    }

    /** Returns the level of a job's queue; lower levels go first. */
    private int level(Job job) {
        return displacement != null
                ? displacement.level(job)
                : -job.spec.priority().ordinal();
    }

    /** Removes and returns the next job, or null if all queues are empty; the teams' usage may change between calls. */
    public Job next() {
        if (!starvingJobs.isEmpty()) {
            return starvingJobs.poll();
        }
        for (Map<String, ArrayDeque<Job>> queueByTeam : queues.values()) {
            String team = nextTeam(queueByTeam);
            if (team != null) {
                return queueByTeam.get(team).poll();
            }
        }
        return null;
    }

    /** Returns the team whose job is next among the queues of one level, or null if all are empty. */
    private String nextTeam(Map<String, ArrayDeque<Job>> queueByTeam) {
        String bestTeam = null;
        double lowestShare = Double.MAX_VALUE;
        for (Map.Entry<String, ArrayDeque<Job>> entry : queueByTeam.entrySet()) {
            if (entry.getValue().isEmpty()) {
                continue;
            }
            String team = entry.getKey();
            double share = usageShare(team);
            if (bestTeam == null || precedes(team, share, bestTeam, lowestShare, queueByTeam)) {
                lowestShare = share;
                bestTeam = team;
            }
        }
        return bestTeam;
    }

    /** Whether the next job of {@code team} goes before that of {@code other}. */
    private boolean precedes(
            String team, double share, String other, double otherShare, Map<String, ArrayDeque<Job>> queueByTeam) {
        boolean bothBeyondGuarantees = share >= 1 && otherShare >= 1;
        if (displacement != null && bothBeyondGuarantees) {
            return displacement.compare(
                            queueByTeam.get(team).peek(), queueByTeam.get(other).peek())
                    < 0;
        }
        return share < otherShare || share == otherShare && team.compareTo(other) < 0;
    }

    /**
     * Returns the share of its guarantee that a team uses or, for a team without a guarantee, 1 plus the share of the total
     * capacity that it uses. Either share is divided by the team weight.
     */
    private double usageShare(String teamName) {
        Team team = teamByName.apply(teamName);
        Resources used = usageByTeam.getOrDefault(teamName, Resources.ZERO);
        double weight = team == null ? 1 : team.weight();
        if (team != null && (team.guaranteedCpus() > 0 || team.guaranteedGpus() > 0)) {
            return used.dominantShareOf(new Resources(team.guaranteedCpus(), team.guaranteedGpus(), 0)) / weight;
        }
        return 1 + used.dominantShareOf(totalCapacity) / weight;
    }
}
