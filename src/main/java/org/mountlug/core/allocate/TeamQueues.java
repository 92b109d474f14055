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
 * A queue for each team and priority. Higher priorities go first; within one, the team that uses least of what it is
 * due has the next turn, so that no team waits behind another's backlog. While work is displaced from a lost zone, the
 * displacement order decides between teams instead, but for those that are within their guarantee. Either order would keep
 * some jobs from ever beginning, so what has waited long enough goes ahead until its first tasks are placed.
 */
public final class TeamQueues {
    /** Queues by level, the first level served first, and by team. */
    private final TreeMap<Integer, Map<String, ArrayDeque<Job>>> queues = new TreeMap<>();
    /** Jobs that have waited too long to begin: ahead of everything, the oldest first. */
    private final ArrayDeque<Job> overdue = new ArrayDeque<>();

    private final DisplacementOrder displacement;
    private final Function<String, Team> teams;
    private final Map<String, Resources> usage;
    private final Resources whole;

    /**
     * Sorts the jobs into their queues.
     *
     * @param displacement the order of all work while a zone is not present, else null
     * @param totalCapacity the room of all machines together
     */
    public TeamQueues(
            Iterable<Job> jobs,
            ToDoubleFunction<Job> orderKey,
            DisplacementOrder displacement,
            Function<String, Team> teams,
            Map<String, Resources> usage,
            Resources totalCapacity,
            double nowS) {
        this.displacement = displacement;
        this.teams = teams;
        this.usage = usage;
        this.whole = totalCapacity;
        List<Job> sorted = new ArrayList<>();
        jobs.forEach(sorted::add);
        sorted.sort(
                displacement != null
                        ? displacement
                        : Comparator.comparingDouble(orderKey).thenComparing(job -> job.spec.id()));
        List<Job> late = new ArrayList<>();
        for (Job job : sorted) {
            if (!job.everPlaced && nowS - job.waitingSinceS > Constants.STARVATION_LIMIT_S) {
                late.add(job);
            } else {
                queues.computeIfAbsent(level(job), level -> new HashMap<>())
                        .computeIfAbsent(job.spec.team(), team -> new ArrayDeque<>())
                        .add(job);
            }
        }
        late.sort(Comparator.comparingLong(job -> job.spec.submittedMs()));
        overdue.addAll(late);
    }

    private int level(Job job) {
        return displacement != null
                ? displacement.level(job)
                : -job.spec.priority().ordinal();
    }

    /** The next job, or null; {@code usage} may change between calls. */
    public Job next() {
        if (!overdue.isEmpty()) {
            return overdue.poll();
        }
        for (Map<String, ArrayDeque<Job>> level : queues.values()) {
            String team = nextTeam(level);
            if (team != null) {
                return level.get(team).poll();
            }
        }
        return null;
    }

    /** The team whose turn it is among the queues of one level, or null if all are empty. */
    private String nextTeam(Map<String, ArrayDeque<Job>> level) {
        String best = null;
        double least = Double.MAX_VALUE;
        for (Map.Entry<String, ArrayDeque<Job>> entry : level.entrySet()) {
            if (entry.getValue().isEmpty()) {
                continue;
            }
            String team = entry.getKey();
            double due = due(team);
            if (best == null || goesBefore(team, due, best, least, level)) {
                least = due;
                best = team;
            }
        }
        return best;
    }

    private boolean goesBefore(
            String team, double due, String other, double otherDue, Map<String, ArrayDeque<Job>> level) {
        boolean bothBeyondGuarantees = due >= 1 && otherDue >= 1;
        if (displacement != null && bothBeyondGuarantees) {
            return displacement.compare(level.get(team).peek(), level.get(other).peek()) < 0;
        }
        return due < otherDue || due == otherDue && team.compareTo(other) < 0;
    }

    /** What a team uses, as a part of what it is due. */
    private double due(String name) {
        Team team = teams.apply(name);
        Resources used = usage.getOrDefault(name, Resources.ZERO);
        double weight = team == null ? 1 : team.weight();
        if (team != null && (team.guaranteedCpus() > 0 || team.guaranteedGpus() > 0)) {
            return used.dominantShareOf(new Resources(team.guaranteedCpus(), team.guaranteedGpus(), 0)) / weight;
        }
        return 1 + used.dominantShareOf(whole) / weight;
    }
}
