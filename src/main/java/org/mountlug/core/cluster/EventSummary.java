package org.mountlug.core.cluster;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Collects events of jobs and machines for the log. Events of one kind are merged into one line with their number, so that
 * the log stays short when many tasks or machines are affected at once.
 */
public final class EventSummary {
    /** Maximum number of subjects that one line names. */
    private static final int MAX_NAMED_SUBJECTS = 3;

    private final Map<String, List<String>> subjectsByKind = new LinkedHashMap<>();

    /** Adds an event of a kind, with its subject: a task, a machine or a job. */
    public void add(String kind, String subject) {
        subjectsByKind.computeIfAbsent(kind, k -> new ArrayList<>()).add(subject);
    }

    /** Returns one line for each kind of event, ordered by the first event of each kind. */
    public List<String> lines() {
        List<String> lines = new ArrayList<>();
        subjectsByKind.forEach((kind, subjects) -> {
            String named = String.join(", ", subjects.subList(0, Math.min(MAX_NAMED_SUBJECTS, subjects.size())));
            lines.add(
                    subjects.size() <= MAX_NAMED_SUBJECTS
                            ? kind + ": " + named
                            : kind + ": " + subjects.size() + ", " + named + " and others");
        });
        return lines;
    }

    /** Returns one line for each event. */
    public List<String> detailLines() {
        List<String> lines = new ArrayList<>();
        subjectsByKind.forEach((kind, subjects) -> subjects.forEach(subject -> lines.add(kind + ": " + subject)));
        return lines;
    }
}
