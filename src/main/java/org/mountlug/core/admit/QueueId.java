package org.mountlug.core.admit;

import java.util.Comparator;

/** Identifies a queue of submissions: those of one team in one job class. */
public record QueueId(String team, String jobClass) implements Comparable<QueueId> {
    private static final Comparator<QueueId> ORDER =
            Comparator.comparing(QueueId::team).thenComparing(QueueId::jobClass);

    @Override
    public int compareTo(QueueId other) {
        return ORDER.compare(this, other);
    }
}
