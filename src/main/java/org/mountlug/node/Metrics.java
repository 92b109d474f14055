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
import org.mountlug.core.cluster.CommandStatus;
import org.mountlug.core.cluster.FleetStatus;
import org.mountlug.core.zone.ZoneStatus;

/**
 * The metrics of a controller. The registry is created at the first scrape, as its creation would delay the start of a
 * controller on a quarter of a core; until then plain counters collect the values.
 */
public final class Metrics {
    private final AtomicLong placedTasks = new AtomicLong();
    private final AtomicLong completedJobs = new AtomicLong();
    private final AtomicLong cancelledJobs = new AtomicLong();
    private final AtomicLong reports = new AtomicLong();
    private final AtomicLong submissions = new AtomicLong();
    private final AtomicLong rateLimitedRequests = new AtomicLong();
    private final Map<String, AtomicLong> deferredSubmissionsByTeam = new ConcurrentHashMap<>();
    private final AtomicLong unavailableResponses = new AtomicLong();
    private final AtomicLong unansweredReports = new AtomicLong();
    private final AtomicLong processPauses = new AtomicLong();
    private final AtomicLong refusedRentals = new AtomicLong();
    private volatile FleetStatus fleetStatus = new FleetStatus(0, 0, 0, 0, 0, 0, 0, 0);
    private final AtomicLong directStarts = new AtomicLong();
    private final AtomicLong refusedDirectStarts = new AtomicLong();
    private final AtomicLong unansweredDirectStarts = new AtomicLong();
    private volatile CommandStatus commandStatus = new CommandStatus(0, 0, 0, 0);
    private final AtomicInteger reservations = new AtomicInteger();
    private final AtomicInteger leading = new AtomicInteger();
    private volatile List<ZoneStatus> zoneStatuses = List.of();
    private PrometheusMeterRegistry registry;
    private MultiGauge zoneStateGauge;
    private MultiGauge zoneRampStartsGauge;
    private MultiGauge deferredSubmissionsGauge;

    /** Counts tasks that a round has placed. */
    public void countPlacedTasks(int count) {
        placedTasks.addAndGet(count);
    }

    /** Counts a finished job: done if {@code completed}, else cancelled. */
    public void countFinishedJob(boolean completed) {
        (completed ? completedJobs : cancelledJobs).incrementAndGet();
    }

    /** Counts a worker's report. */
    public void countReport() {
        reports.incrementAndGet();
    }

    /** Counts a submission, whatever the response. */
    public void countSubmission() {
        submissions.incrementAndGet();
    }

    /** Counts a user's request that was rejected because of the rate limit. */
    public void countRateLimitedRequest() {
        rateLimitedRequests.incrementAndGet();
    }

    /** Returns the number of users' requests that were rejected because of the rate limit. */
    public long rateLimitedRequestCount() {
        return rateLimitedRequests.get();
    }

    /**
     * Counts a submission that was deferred because other submissions go first.
     *
     * @param team one of the teams in the settings, as no other team can submit
     */
    public void countDeferredSubmission(String team) {
        deferredSubmissionsByTeam
                .computeIfAbsent(team, unseen -> new AtomicLong())
                .incrementAndGet();
    }

    /** Counts a response with status 503 (unavailable) to a user. */
    public void countUnavailableResponse() {
        unavailableResponses.incrementAndGet();
    }

    /** Counts a worker's report to which a leader sent no response. */
    public void countUnansweredReport() {
        unansweredReports.incrementAndGet();
    }

    /** Counts a pause of the process. */
    public void countProcessPause() {
        processPauses.incrementAndGet();
    }

    /** Counts a rental that the cloud refused. */
    public void countRefusedRental() {
        refusedRentals.incrementAndGet();
    }

    /** Sets the numbers of jobs and machines, as the leader knows them. */
    public void setFleetStatus(FleetStatus status) {
        fleetStatus = status;
    }

    /** Counts starts that were sent directly to a worker. */
    public void countDirectStarts(int count) {
        directStarts.addAndGet(count);
    }

    /** Counts direct starts that the worker refused or did not get, so that they never take effect. */
    public void countRefusedDirectStarts(int count) {
        refusedDirectStarts.addAndGet(count);
    }

    /** Counts direct starts without a usable response, which may still take effect. */
    public void countUnansweredDirectStarts(int count) {
        unansweredDirectStarts.addAndGet(count);
    }

    /** Sets the state of the fencing tokens, as the leader knows it. */
    public void setCommandStatus(CommandStatus status) {
        commandStatus = status;
    }

    /** Sets the status of the zones, as the leader tracks them. */
    public void setZoneStatuses(List<ZoneStatus> status) {
        zoneStatuses = status;
    }

    /** Sets the number of gangs that hold reservations. */
    public void setReservationCount(int gangs) {
        reservations.set(gangs);
    }

    /** Sets whether this controller leads. */
    public void setLeading(boolean leads) {
        leading.set(leads ? 1 : 0);
    }

    /** Returns all metrics in the Prometheus text format. */
    public synchronized String scrape() {
        if (registry == null) {
            registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
            registerCounter("mountlug.tasks.placed", placedTasks);
            registerCounter("mountlug.jobs.done", completedJobs);
            registerCounter("mountlug.jobs.cancelled", cancelledJobs);
            registerCounter("mountlug.reports", reports);
            registerCounter("mountlug.submissions", submissions);
            registerCounter("mountlug.requests.over.budget", rateLimitedRequests);
            registerCounter("mountlug.requests.unserved", unavailableResponses);
            registerCounter("mountlug.reports.unanswered", unansweredReports);
            registerCounter("mountlug.standstills", processPauses);
            registerCounter("mountlug.rentals.refused", refusedRentals);
            registerCounter("mountlug.starts.direct", directStarts);
            registerCounter("mountlug.starts.direct.refused", refusedDirectStarts);
            registerCounter("mountlug.starts.direct.unanswered", unansweredDirectStarts);
            registerCommandGauge("mountlug.term.token", CommandStatus::termToken);
            registerCommandGauge("mountlug.term.proven.revision", CommandStatus::provenRevision);
            registerCommandGauge("mountlug.machines.token.raised", CommandStatus::raisedMachines);
            registerCommandGauge("mountlug.attempts.forget.withheld", CommandStatus::withheldForgets);
            registerGauge("mountlug.jobs.live", FleetStatus::liveJobs);
            registerGauge("mountlug.jobs.suspected", FleetStatus::suspectedJobs);
            registerGauge("mountlug.machines", FleetStatus::machines);
            registerGauge("mountlug.machines.booting", FleetStatus::booting);
            registerGauge("mountlug.machines.silent", FleetStatus::silent);
            registerGauge("mountlug.machines.quarantined", FleetStatus::quarantined);
            registerGauge("mountlug.term.tasks.lost", FleetStatus::lostAttempts);
            registerGauge("mountlug.term.tasks.failed", FleetStatus::failedAttempts);
            Gauge.builder("mountlug.reservations", reservations, AtomicInteger::get)
                    .register(registry);
            zoneStateGauge = MultiGauge.builder("mountlug.zone.state").register(registry);
            deferredSubmissionsGauge =
                    MultiGauge.builder("mountlug.submissions.deferred").register(registry);
            zoneRampStartsGauge =
                    MultiGauge.builder("mountlug.zone.ramp.starts").register(registry);
            Gauge.builder("mountlug.leading", leading, AtomicInteger::get).register(registry);
        }
        zoneStateGauge.register(zoneRows(zone -> zone.state().ordinal()), true);
        zoneRampStartsGauge.register(zoneRows(ZoneStatus::window), true);
        List<MultiGauge.Row<?>> deferredRows = new ArrayList<>();
        deferredSubmissionsByTeam.forEach(
                (team, count) -> deferredRows.add(MultiGauge.Row.of(Tags.of("team", team), count)));
        deferredSubmissionsGauge.register(deferredRows, true);
        return registry.scrape();
    }

    private List<MultiGauge.Row<?>> zoneRows(ToDoubleFunction<ZoneStatus> value) {
        List<MultiGauge.Row<?>> rows = new ArrayList<>();
        for (ZoneStatus zone : zoneStatuses) {
            rows.add(MultiGauge.Row.of(Tags.of("zone", zone.zone()), value.applyAsDouble(zone)));
        }
        return rows;
    }

    private void registerGauge(String name, ToDoubleFunction<FleetStatus> value) {
        Gauge.builder(name, this, metrics -> value.applyAsDouble(metrics.fleetStatus))
                .register(registry);
    }

    private void registerCommandGauge(String name, ToDoubleFunction<CommandStatus> value) {
        Gauge.builder(name, this, metrics -> value.applyAsDouble(metrics.commandStatus))
                .register(registry);
    }

    private void registerCounter(String name, AtomicLong count) {
        io.micrometer.core.instrument.FunctionCounter.builder(name, count, AtomicLong::get)
                .register(registry);
    }
}
