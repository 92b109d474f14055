package org.mountlug.core.cluster;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What happened to jobs and machines since it was last asked, for the log: events of one kind are merged to a line that
 * says how many there were, however many tasks or machines fall together.
 */
public final class EventSummary {
    /** Subjects of one line that are named. */
    private static final int NAMED = 3;

    private final Map<String, List<String>> subjects = new LinkedHashMap<>();

    /** An event of a kind, with its subject: a task, a machine or a job. */
    public void add(String kind, String subject) {
        subjects.computeIfAbsent(kind, k -> new ArrayList<>()).add(subject);
    }

    /** One line for each kind of event, in the order of their first. */
    public List<String> lines() {
        List<String> lines = new ArrayList<>();
        subjects.forEach((kind, all) -> {
            String named = String.join(", ", all.subList(0, Math.min(NAMED, all.size())));
            lines.add(
                    all.size() <= NAMED
                            ? kind + ": " + named
                            : kind + ": " + all.size() + ", " + named + " and others");
        });
        return lines;
    }

    /** One line for each event. */
    public List<String> detailLines() {
        List<String> lines = new ArrayList<>();
        subjects.forEach((kind, all) -> all.forEach(subject -> lines.add(kind + ": " + subject)));
        return lines;
    }
}
