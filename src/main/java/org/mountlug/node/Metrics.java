package org.mountlug.node;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

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
    private final AtomicInteger jobs = new AtomicInteger();
    private final AtomicInteger machines = new AtomicInteger();
    private final AtomicInteger reservations = new AtomicInteger();
    private final AtomicInteger leading = new AtomicInteger();
    private PrometheusMeterRegistry registry;

    /** Counts tasks that a round has placed. */
    public void placed(int n) {
        placed.addAndGet(n);
    }

    /** Counts a job that is over, done or cancelled. */
    public void finished(boolean complete) {
        (complete ? done : cancelled).incrementAndGet();
    }

    /** Counts a worker's report. */
    public void beat() {
        beats.incrementAndGet();
    }

    /** Counts a submission, whatever its answer. */
    public void submitted() {
        submissions.incrementAndGet();
    }

    /** Shows how many live jobs and machines the leader knows. */
    public void fleet(int liveJobs, int knownMachines) {
        jobs.set(liveJobs);
        machines.set(knownMachines);
    }

    /** Shows how many gangs hold reservations. */
    public void reserved(int gangs) {
        reservations.set(gangs);
    }

    /** Shows whether this controller leads. */
    public void leading(boolean is) {
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
            Gauge.builder("mountlug.jobs.live", jobs, AtomicInteger::get).register(registry);
            Gauge.builder("mountlug.machines", machines, AtomicInteger::get).register(registry);
            Gauge.builder("mountlug.reservations", reservations, AtomicInteger::get)
                    .register(registry);
            Gauge.builder("mountlug.leading", leading, AtomicInteger::get).register(registry);
        }
        return registry.scrape();
    }

    private void counter(String name, AtomicLong from) {
        io.micrometer.core.instrument.FunctionCounter.builder(name, from, AtomicLong::get)
                .register(registry);
    }
}
