package org.mountlug.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mountlug.core.model.Job;
import org.mountlug.core.model.Reservation;
import org.mountlug.store.StateClient;
import org.mountlug.wire.HttpTransport;
import org.mountlug.wire.PooledHttpClient;

/**
 * Guards against a leader that renews worker leases although it does not know of an acknowledged cancellation, because
 * responses arrive late or the records are still being loaded.
 */
class JobRecordWatchTest {
    private record Request(String path, Consumer<PooledHttpClient.Response> onResponse) {}

    private double nowS = 100;
    private final ArrayDeque<Request> requests = new ArrayDeque<>();
    private final List<Runnable> scheduled = new ArrayList<>();
    private final Set<String> knownJobs = new HashSet<>();
    private final List<String> cancelledJobs = new ArrayList<>();
    private final HttpTransport calls =
            (method, path, body, timeoutMs, onResponse) -> requests.add(new Request(path, onResponse));
    private final JobRecordWatch records = new JobRecordWatch(
            new StateClient(calls, calls, () -> nowS, 100, 1),
            () -> nowS,
            (action, delayMs) -> scheduled.add(action),
            new JobRecordWatch.Listener() {
                @Override
                public boolean isKnownJob(String id) {
                    return knownJobs.contains(id);
                }

                @Override
                public void addJob(Job job, double nowS) {
                    knownJobs.add(job.spec.id());
                }

                @Override
                public void updateJob(String id, Map<String, Object> record, long revision, double nowS) {
                    if (record.containsKey("x")) {
                        cancelJob(id);
                    }
                }

                @Override
                public void addOrphanedKey(String key) {}

                @Override
                public void restoreReservations(Map<String, List<Reservation>> byJob, Map<String, Long> revisions) {}

                @Override
                public void restoreImageIndex(Map<String, Object> byMachine) {}

                @Override
                public void onLoaded() {}

                @Override
                public void cancelJob(String id) {
                    if (!cancelledJobs.contains(id)) {
                        cancelledJobs.add(id);
                    }
                }

                @Override
                public boolean hasEnded() {
                    return false;
                }
            });

    private static Map<String, Object> row(String id) {
        Map<String, Object> spec =
                new HashMap<>(Map.of("l", "l", "t", "t", "g", false, "u", 1, "n", 1, "c", 1.0, "i", "i", "e", 5.0));
        return Map.of("k", "j/" + id, "v", Map.of("s", spec, "w", ""), "stamp", 5L);
    }

    /** Responds to the oldest request after {@code afterS} seconds; returns the request's path. */
    private String respond(double afterS, int status, Map<String, Object> body) {
        nowS += afterS;
        Request request = requests.poll();
        request.onResponse().accept(new PooledHttpClient.Response(status, body, true));
        return request.path();
    }

    private void runScheduled() {
        List<Runnable> actions = new ArrayList<>(scheduled);
        scheduled.clear();
        actions.forEach(Runnable::run);
    }

    /**
     * Loads everything, up to the opening of the first watch.
     *
     * @param cancellationAfter the number of responses after which a cancellation is received, or -1 for none
     */
    private void load(int cancellationAfter) {
        records.start();
        List<Map<String, Object>> responses = List.of(
                Map.of("rows", List.of(row("wk-000001")), "epoch", 9L),
                Map.of("rows", List.of()),
                Map.of("rows", List.of()),
                Map.of());
        for (int i = 0; i < responses.size(); i++) {
            if (cancellationAfter == i) {
                records.recordCancellation("wk-000001");
            }
            assertEquals(
                    Double.NEGATIVE_INFINITY,
                    records.cancellationsKnownUntilS(),
                    "no cancellation counts as known while records are loaded");
            respond(1, i == 3 ? 404 : 200, responses.get(i));
        }
        if (cancellationAfter == responses.size()) {
            records.recordCancellation("wk-000001");
        }
    }

    @ParameterizedTest(name = "after {0} responses")
    @CsvSource({"0", "1", "2", "3", "4"})
    void cancellationReceivedWhileLoadingIsAppliedOnceTheJobIsKnown(int responses) {
        load(responses);
        assertEquals(List.of("wk-000001"), cancelledJobs);
    }

    @Test
    void cancellationOfAnUnknownJobIsAppliedWhenItsRecordIsWatched() {
        load(-1);
        records.recordCancellation("wk-000002");
        assertEquals(List.of(), cancelledJobs);
        Map<String, Object> row = row("wk-000002");
        respond(
                1,
                200,
                Map.of("epoch", 11L, "news", List.of(Map.of("put", "j/wk-000002", "v", row.get("v"), "stamp", 11L))));
        assertEquals(List.of("wk-000002"), cancelledJobs);
    }

    /** A job finished before the term never becomes known: its cancellations, listed by all peers, must not pile up. */
    @ParameterizedTest(name = "received {0} s after the watch was opened: {1} kept")
    @CsvSource({"-1, 0", "1, 1"})
    void cancellationsOfFinishedJobsAreDroppedAfterAWatchWithoutThem(double afterS, int kept) {
        load(-1);
        if (afterS > 0) {
            nowS += afterS;
        } else {
            nowS -= 1; // the watch is opened at the time of the last response of the loading
        }
        for (int i = 0; i < 50; i++) {
            records.recordCancellation("wk-000077");
        }
        assertEquals(1, records.pendingCancellationCount());
        respond(3, 200, Map.of("epoch", 20L, "news", List.of()));
        assertEquals(kept, records.pendingCancellationCount());
    }

    /** The first read is requested at 100 s; the watch is opened at 104 s. */
    @ParameterizedTest(name = "{0}: known until {1} s")
    @CsvSource({
        "loaded, 100",
        "watch answered late, 104",
        "watch answered with 503, 100",
        "watch unanswered, 100",
        "watch answered with 410, 100",
        "records read again after 410, 100",
        "peer responses until 120 s, 120",
        "peer responses until 90 s, 100"
    })
    void cancellationsAreKnownNoLaterThanTheAnsweredRequestWasSent(String event, double untilS) {
        load(-1);
        assertTrue(requests.peek().path().startsWith("/watch"));
        switch (event) {
            case "watch answered late" -> respond(70, 200, Map.of("epoch", 20L, "news", List.of()));
            case "watch answered with 503" -> respond(3, 503, Map.of());
            case "watch unanswered" -> respond(5, 0, Map.of());
            case "watch answered with 410" -> respond(3, 410, Map.of());
            case "records read again after 410" -> {
                respond(3, 410, Map.of());
                respond(3, 503, Map.of());
                runScheduled();
                respond(3, 200, Map.of("rows", List.of(), "epoch", 30L));
            }
            case "peer responses until 120 s" -> records.confirmCancellationsUntil(120);
            case "peer responses until 90 s" -> records.confirmCancellationsUntil(90);
            default -> {}
        }
        assertEquals(untilS, records.cancellationsKnownUntilS());
    }

    @Test
    void loadingIsRetriedAndCountsFromTheAnsweredRequest() {
        records.start();
        respond(1, 503, Map.of());
        nowS = 130;
        runScheduled();
        respond(2, 200, Map.of("rows", List.of(), "epoch", 9L));
        respond(0, 200, Map.of("rows", List.of()));
        respond(0, 200, Map.of("rows", List.of()));
        respond(0, 404, Map.of());
        assertEquals(130, records.cancellationsKnownUntilS());
    }
}
