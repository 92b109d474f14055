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

/** Up to when every cancellation that a user was told of is known, as answers come late, in any state of the loading. */
class JobRecordWatchTest {
    private record Request(String path, Consumer<PooledHttpClient.Response> then) {}

    private double now = 100;
    private final ArrayDeque<Request> requests = new ArrayDeque<>();
    private final List<Runnable> later = new ArrayList<>();
    private final Set<String> jobs = new HashSet<>();
    private final List<String> cancelled = new ArrayList<>();
    private final HttpTransport calls = (method, path, body, ms, then) -> requests.add(new Request(path, then));
    private final JobRecordWatch records = new JobRecordWatch(
            new StateClient(calls, calls, () -> now, 100, 1),
            () -> now,
            (r, ms) -> later.add(r),
            new JobRecordWatch.Listener() {
                @Override
                public boolean isKnownJob(String id) {
                    return jobs.contains(id);
                }

                @Override
                public void addJob(Job j, double nowS) {
                    jobs.add(j.spec.id());
                }

                @Override
                public void updateJob(String id, Map<String, Object> v, long stamp, double nowS) {
                    if (v.containsKey("x")) {
                        cancelJob(id);
                    }
                }

                @Override
                public void addOrphanedKey(String key) {}

                @Override
                public void restoreReservations(Map<String, List<Reservation>> byJob, Map<String, Long> stamps) {}

                @Override
                public void restoreImageIndex(Map<String, Object> v) {}

                @Override
                public void onLoaded() {}

                @Override
                public void cancelJob(String id) {
                    if (!cancelled.contains(id)) {
                        cancelled.add(id);
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

    /** Answers the oldest request, {@code afterS} after now. */
    private String answer(double afterS, int status, Map<String, Object> body) {
        now += afterS;
        Request r = requests.poll();
        r.then().accept(new PooledHttpClient.Response(status, body, true));
        return r.path();
    }

    private void again() {
        List<Runnable> l = new ArrayList<>(later);
        later.clear();
        l.forEach(Runnable::run);
    }

    /** Reads everything, up to the opening of the first watch; a notice comes after so many answers. */
    private void load(int noticeAfter) {
        records.start();
        List<Map<String, Object>> answers = List.of(
                Map.of("rows", List.of(row("wk-000001")), "epoch", 9L),
                Map.of("rows", List.of()),
                Map.of("rows", List.of()),
                Map.of());
        for (int i = 0; i < answers.size(); i++) {
            if (noticeAfter == i) {
                records.recordCancellation("wk-000001");
            }
            assertEquals(
                    Double.NEGATIVE_INFINITY,
                    records.cancellationsKnownUntilS(),
                    "nothing is known while records are read");
            answer(1, i == 3 ? 404 : 200, answers.get(i));
        }
        if (noticeAfter == answers.size()) {
            records.recordCancellation("wk-000001");
        }
    }

    @ParameterizedTest(name = "after {0} answers")
    @CsvSource({"0", "1", "2", "3", "4"})
    void aNoticeIsKeptUntilThereIsSomethingToApplyItTo(int answers) {
        load(answers);
        assertEquals(List.of("wk-000001"), cancelled);
    }

    @Test
    void aNoticeOfAJobThatIsNotKnownYetWaitsForItsRecord() {
        load(-1);
        records.recordCancellation("wk-000002");
        assertEquals(List.of(), cancelled);
        Map<String, Object> r = row("wk-000002");
        answer(
                1,
                200,
                Map.of("epoch", 11L, "news", List.of(Map.of("put", "j/wk-000002", "v", r.get("v"), "stamp", 11L))));
        assertEquals(List.of("wk-000002"), cancelled);
    }

    /** Nobody will ever know a job that was over before: its notices, repeated by every peer, must not pile up. */
    @ParameterizedTest(name = "heard {0} s after the watch was opened: kept {1}")
    @CsvSource({"-1, 0", "1, 1"})
    void noticesOfJobsThatAreOverAreForgottenOnceAWatchShowsNothingOfThem(double afterS, int kept) {
        load(-1);
        if (afterS > 0) {
            now += afterS;
        } else {
            now -= 1; // the last answer of the loading and the opening of the watch are one moment
        }
        for (int i = 0; i < 50; i++) {
            records.recordCancellation("wk-000077");
        }
        assertEquals(1, records.pendingCancellationCount());
        answer(3, 200, Map.of("epoch", 20L, "news", List.of()));
        assertEquals(kept, records.pendingCancellationCount());
    }

    /** What was read first was asked for at 100 s; the watch is opened at 104 s. */
    @ParameterizedTest(name = "{0}: known until {1} s")
    @CsvSource({
        "loaded, 100",
        "watch answered late, 104",
        "watch refused, 100",
        "watch unanswered, 100",
        "410, 100",
        "410 and read again, 100",
        "peers, 120",
        "peers behind, 100"
    })
    void whatIsKnownIsNeverNewerThanWhatWasAskedFor(String what, double until) {
        load(-1);
        assertTrue(requests.peek().path().startsWith("/watch"));
        switch (what) {
            case "watch answered late" -> answer(70, 200, Map.of("epoch", 20L, "news", List.of()));
            case "watch refused" -> answer(3, 503, Map.of());
            case "watch unanswered" -> answer(5, 0, Map.of());
            case "410" -> answer(3, 410, Map.of());
            case "410 and read again" -> {
                answer(3, 410, Map.of());
                answer(3, 503, Map.of());
                again();
                answer(3, 200, Map.of("rows", List.of(), "epoch", 30L));
            }
            case "peers" -> records.confirmCancellationsUntil(120);
            case "peers behind" -> records.confirmCancellationsUntil(90);
            default -> {}
        }
        assertEquals(until, records.cancellationsKnownUntilS());
    }

    @Test
    void readingIsTriedAgainAndCountsFromTheRequestThatWasAnswered() {
        records.start();
        answer(1, 503, Map.of());
        now = 130;
        again();
        answer(2, 200, Map.of("rows", List.of(), "epoch", 9L));
        answer(0, 200, Map.of("rows", List.of()));
        answer(0, 200, Map.of("rows", List.of()));
        answer(0, 404, Map.of());
        assertEquals(130, records.cancellationsKnownUntilS());
    }
}
