package org.mountlug.core.admit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.mountlug.Constants;

/** Counts submissions by queue. Of the queues not asked for longest none is kept beyond a bound, as users name classes. */
final class DemandCounter {
    private static final class Counter {
        int asked;
        int met;
        int refused;

        QueueDemand of(QueueId queue) {
            return new QueueDemand(queue, asked, met, refused);
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
        counter(queue).asked++;
    }

    void recordArrival(QueueId queue) {
        counter(queue).met++;
    }

    void recordThrottled(QueueId queue) {
        counter(queue).refused++;
    }

    /** The counts of all queues, the busiest first. */
    List<QueueDemand> counts() {
        List<QueueDemand> counts = new ArrayList<>();
        counters.forEach((queue, counter) -> counts.add(counter.of(queue)));
        counts.sort(Comparator.comparingInt(QueueDemand::submissions).reversed().thenComparing(QueueDemand::queue));
        return counts;
    }
}
