package org.mountlug.core.admit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.mountlug.Constants;

/**
 * Counts submissions by queue. Users choose the names of job classes, so the number of queues is bounded: the one used
 * least recently is dropped first.
 */
final class DemandCounter {
    private static final class Counter {
        int submissions;
        int arrivals;
        int throttled;

        QueueDemand toDemand(QueueId queue) {
            return new QueueDemand(queue, submissions, arrivals, throttled);
        }
    }

    private final Map<QueueId, Counter> counters = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<QueueId, Counter> eldest) {
            return size() > Constants.Admission.MAX_TRACKED_QUEUES;
        }
    };

    private Counter counter(QueueId queue) {
        return counters.computeIfAbsent(queue, unseen -> new Counter());
    }

    void recordSubmission(QueueId queue) {
        counter(queue).submissions++;
    }

    void recordArrival(QueueId queue) {
        counter(queue).arrivals++;
    }

    void recordThrottled(QueueId queue) {
        counter(queue).throttled++;
    }

    /** Returns the counts of all queues, the busiest first. */
    List<QueueDemand> counts() {
        List<QueueDemand> counts = new ArrayList<>();
        counters.forEach((queue, counter) -> counts.add(counter.toDemand(queue)));
        counts.sort(Comparator.comparingInt(QueueDemand::submissions).reversed().thenComparing(QueueDemand::queue));
        return counts;
    }
}
