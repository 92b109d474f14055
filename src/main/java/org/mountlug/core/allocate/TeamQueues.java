package org.mountlug.core.allocate;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import org.mountlug.Constants;
import org.mountlug.core.model.Job;
import org.mountlug.core.model.Resources;
import org.mountlug.core.model.Team;
import org.mountlug.core.model.Urgency;

/**
 * A queue for each team and priority. Higher priorities go first; within one, the team that uses least of what it is
 * due has the next turn, so that no team waits behind another's backlog. Priority alone would keep some jobs from ever
 * beginning, so what has waited long enough goes ahead until its first tasks are placed.
 */
public final class TeamQueues {
    private final EnumMap<Urgency, Map<String, ArrayDeque<Job>>> queues = new EnumMap<>(Urgency.class);
    /** Jobs that have waited too long to begin: ahead of everything, the oldest first. */
    private final ArrayDeque<Job> overdue = new ArrayDeque<>();

    private final Function<String, Team> teams;
    private final Map<String, Resources> usage;
    private final Resources whole;

    /** Sorts the jobs into their queues; {@code whole} is the room of all machines together. */
    public TeamQueues(
            Iterable<Job> jobs,
            ToDoubleFunction<Job> dueOrder,
            Function<String, Team> teams,
            Map<String, Resources> usage,
            Resources whole,
            double nowS) {
        this.teams = teams;
        this.usage = usage;
        this.whole = whole;
        List<Job> sorted = new ArrayList<>();
        for (Job j : jobs) {
            sorted.add(j);
        }
        sorted.sort(Comparator.comparingDouble(dueOrder).thenComparing(j -> j.spec.id()));
        List<Job> late = new ArrayList<>();
        for (Job j : sorted) {
            if (!j.begun && nowS - j.seenS > Constants.BEGIN_WITHIN_S) {
                late.add(j);
                continue;
            }
            queues.computeIfAbsent(j.spec.urgency(), u -> new HashMap<>())
                    .computeIfAbsent(j.spec.team(), t -> new ArrayDeque<>())
                    .add(j);
        }
        late.sort(Comparator.comparingLong(j -> j.spec.submittedMs()));
        overdue.addAll(late);
    }

    /** The next job, or null; {@code usage} may change between calls. */
    public Job next() {
        if (!overdue.isEmpty()) {
            return overdue.poll();
        }
        for (int u = Urgency.values().length - 1; u >= 0; u--) {
            Map<String, ArrayDeque<Job>> level = queues.get(Urgency.values()[u]);
            if (level == null) {
                continue;
            }
            String best = null;
            double least = Double.MAX_VALUE;
            for (Map.Entry<String, ArrayDeque<Job>> e : level.entrySet()) {
                if (e.getValue().isEmpty()) {
                    continue;
                }
                double d = due(e.getKey());
                if (d < least || d == least && (best == null || e.getKey().compareTo(best) < 0)) {
                    least = d;
                    best = e.getKey();
                }
            }
            if (best != null) {
                return level.get(best).poll();
            }
        }
        return null;
    }

    /** What a team uses, as a part of what it is due. */
    private double due(String name) {
        Team t = teams.apply(name);
        Resources u = usage.getOrDefault(name, Resources.ZERO);
        double weight = t == null ? 1 : t.weight();
        if (t != null && (t.cpus() > 0 || t.gpus() > 0)) {
            return u.shareOf(new Resources(t.cpus(), t.gpus(), 0)) / weight;
        }
        return 1 + u.shareOf(whole) / weight;
    }
}
