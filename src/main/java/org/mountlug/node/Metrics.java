package org.mountlug.node;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MultiGauge;
import io.micrometer.core.instrument.Tags;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.ToDoubleFunction;
import org.mountlug.core.cluster.FleetStatus;
import org.mountlug.core.zone.ZoneStatus;

/**
 * The service's meters. The registry is built when first asked for: its start-up costs more of a quarter of a core than
 * a controller that is needed back can spare, so until then plain numbers count.
 */
public final class Metrics {
    private final AtomicLong placed = new AtomicLong();
    private final AtomicLong done = new AtomicLong();
    private final AtomicLong cancelled = new AtomicLong();
    private final AtomicLong beats = new AtomicLong();
    private final AtomicLong submissions = new AtomicLong();
    private final AtomicLong overBudget = new AtomicLong();
    private final Map<String, AtomicLong> deferredByTeam = new ConcurrentHashMap<>();
    private final AtomicLong unserved = new AtomicLong();
    private final AtomicLong unanswered = new AtomicLong();
    private final AtomicLong standstills = new AtomicLong();
    private final AtomicLong rentalsRefused = new AtomicLong();
    private volatile FleetStatus fleet = new FleetStatus(0, 0, 0, 0, 0, 0, 0, 0);
    private final AtomicInteger reservations = new AtomicInteger();
    private final AtomicInteger leading = new AtomicInteger();
    private volatile List<ZoneStatus> zones = List.of();
    private PrometheusMeterRegistry registry;
    private MultiGauge zoneStates;
    private MultiGauge zoneWindows;
    private MultiGauge deferrals;

    /** Counts tasks that a round has placed. */
    public void countPlacedTasks(int n) {
        placed.addAndGet(n);
    }

    /** Counts a job that is over, done or cancelled. */
    public void countFinishedJob(boolean completed) {
        (completed ? done : cancelled).incrementAndGet();
    }

    /** Counts a worker's report. */
    public void countReport() {
        beats.incrementAndGet();
    }

    /** Counts a submission, whatever its answer. */
    public void countSubmission() {
        submissions.incrementAndGet();
    }

    /** Counts a request of a user that was refused for the budget's sake. */
    public void countRateLimitedRequest() {
        overBudget.incrementAndGet();
    }

    /** How many requests have been refused for the budget's sake. */
    public long rateLimitedRequestCount() {
        return overBudget.get();
    }

    /** Counts a submission of a team that was deferred, as others go first; only teams of the settings submit. */
    public void countDeferredSubmission(String team) {
        deferredByTeam.computeIfAbsent(team, unseen -> new AtomicLong()).incrementAndGet();
    }

    /** Counts a request of a user that could not be served. */
    public void countUnservedRequest() {
        unserved.incrementAndGet();
    }

    /** Counts a worker's report that a leader left without an answer. */
    public void countUnansweredReport() {
        unanswered.incrementAndGet();
    }

    /** Counts a standstill of the process. */
    public void countProcessPause() {
        standstills.incrementAndGet();
    }

    /** Counts a request for machines that the cloud had none for. */
    public void countRefusedRental() {
        rentalsRefused.incrementAndGet();
    }

    /** Shows how jobs and machines stand, as the leader knows them. */
    public void setFleetStatus(FleetStatus status) {
        fleet = status;
    }

    /** Shows how the zones stand, as the leader tracks them. */
    public void setZoneStatuses(List<ZoneStatus> status) {
        zones = status;
    }

    /** Shows how many gangs hold reservations. */
    public void setReservationCount(int gangs) {
        reservations.set(gangs);
    }

    /** Shows whether this controller leads. */
    public void setLeading(boolean is) {
        leading.set(is ? 1 : 0);
    }

    /** All meters in the Prometheus text format. */
    public synchronized String scrape() {
        if (registry == null) {
            registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
            counter("mountlug.tasks.placed", placed);
            counter("mountlug.jobs.done", done);
            counter("mountlug.jobs.cancelled", cancelled);
            counter("mountlug.reports", beats);
            counter("mountlug.submissions", submissions);
            counter("mountlug.requests.over.budget", overBudget);
            counter("mountlug.requests.unserved", unserved);
            counter("mountlug.reports.unanswered", unanswered);
            counter("mountlug.standstills", standstills);
            counter("mountlug.rentals.refused", rentalsRefused);
            gauge("mountlug.jobs.live", FleetStatus::liveJobs);
            gauge("mountlug.jobs.suspected", FleetStatus::suspectedJobs);
            gauge("mountlug.machines", FleetStatus::machines);
            gauge("mountlug.machines.booting", FleetStatus::booting);
            gauge("mountlug.machines.silent", FleetStatus::silent);
            gauge("mountlug.machines.quarantined", FleetStatus::quarantined);
            gauge("mountlug.term.tasks.lost", FleetStatus::lostTasks);
            gauge("mountlug.term.tasks.failed", FleetStatus::failedTasks);
            Gauge.builder("mountlug.reservations", reservations, AtomicInteger::get)
                    .register(registry);
            zoneStates = MultiGauge.builder("mountlug.zone.state").register(registry);
            deferrals = MultiGauge.builder("mountlug.submissions.deferred").register(registry);
            zoneWindows = MultiGauge.builder("mountlug.zone.ramp.starts").register(registry);
            Gauge.builder("mountlug.leading", leading, AtomicInteger::get).register(registry);
        }
        zoneStates.register(rows(zone -> zone.state().ordinal()), true);
        zoneWindows.register(rows(ZoneStatus::window), true);
        List<MultiGauge.Row<?>> teams = new ArrayList<>();
        deferredByTeam.forEach((team, count) -> teams.add(MultiGauge.Row.of(Tags.of("team", team), count)));
        deferrals.register(teams, true);
        return registry.scrape();
    }

    private List<MultiGauge.Row<?>> rows(ToDoubleFunction<ZoneStatus> value) {
        List<MultiGauge.Row<?>> rows = new ArrayList<>();
        for (ZoneStatus zone : zones) {
            rows.add(MultiGauge.Row.of(Tags.of("zone", zone.zone()), value.applyAsDouble(zone)));
        }
        return rows;
    }

    private void gauge(String name, ToDoubleFunction<FleetStatus> value) {
        Gauge.builder(name, this, metrics -> value.applyAsDouble(metrics.fleet)).register(registry);
    }

    private void counter(String name, AtomicLong from) {
        io.micrometer.core.instrument.FunctionCounter.builder(name, from, AtomicLong::get)
                .register(registry);
    }
}
