package org.mountlug.core.zone;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mountlug.Fixtures;
import org.mountlug.core.allocate.TeamQueues;
import org.mountlug.core.model.Job;
import org.mountlug.core.model.JobSpec;
import org.mountlug.core.model.JobType;
import org.mountlug.core.model.Priority;
import org.mountlug.core.model.Resources;
import org.mountlug.core.model.Team;

/** Tests the order in which waiting jobs are placed while a zone is not present. */
class DisplacementOrderTest {
    private static final Resources REQUEST = new Resources(2, 0, 8);

    private final Map<String, Double> dueByJob = new HashMap<>();

    private Job job(String id, String jobClass, String team, Priority priority, double dueS, long submittedMs) {
        JobSpec spec = Fixtures.spec(id, JobType.ARRAY, 4, REQUEST, priority);
        Job job = new Job(Fixtures.withClassAndTeam(spec, jobClass, team, submittedMs));
        dueByJob.put(id, dueS);
        return job;
    }

    private DisplacementOrder displacementOrder(String... classes) {
        return new DisplacementOrder(List.of(classes), job -> dueByJob.get(job.spec.id()));
    }

    private List<Job> fourJobs() {
        return List.of(
                job("proof", "korrektur", "t", Priority.HIGH, 50, 4),
                job("score", "partitur", "t", Priority.HIGH, 20, 3),
                job("parts", "stamma", "t", Priority.STANDARD, 10, 1),
                job("more-parts", "stamma", "t", Priority.STANDARD, 10, 2));
    }

    @ParameterizedTest(name = "[{0}] -> {1}")
    @CsvSource({
        "'', score proof parts more-parts", // by priority, then by due time, then the oldest first
        "stamma, parts more-parts score proof",
        "korrektur stamma, proof parts more-parts score"
    })
    void ordersByClassPriorityDueTimeAndAge(String classes, String expected) {
        List<Job> jobs = new ArrayList<>(fourJobs());
        Collections.shuffle(jobs, new Random(1));
        jobs.sort(displacementOrder(classes.isEmpty() ? new String[0] : classes.split(" ")));
        assertEquals(
                expected,
                String.join(" ", jobs.stream().map(job -> job.spec.id()).toList()));
    }

    private List<String> servedJobs(DisplacementOrder order, List<Job> jobs, Team... teams) {
        Map<String, Team> byName = new HashMap<>();
        for (Team team : teams) {
            byName.put(team.name(), team);
        }
        Map<String, Resources> usage = new HashMap<>();
        usage.put("busy", new Resources(40, 0, 0));
        TeamQueues queues = new TeamQueues(
                jobs, job -> dueByJob.get(job.spec.id()), order, byName::get, usage, new Resources(100, 0, 0), 10);
        List<String> served = new ArrayList<>();
        for (Job job = queues.next(); job != null; job = queues.next()) {
            served.add(job.spec.id());
        }
        return served;
    }

    /** Among teams without a guarantee, this order decides while a zone is not present, and otherwise the teams' usage. */
    @Test
    void decidesBetweenTeamsWithoutGuarantees() {
        List<Job> jobs =
                List.of(job("late", "l", "idle", Priority.HIGH, 90, 1), job("soon", "l", "busy", Priority.HIGH, 20, 2));
        Team idle = new Team("idle", 0, 0, 0, 0, 1);
        Team busy = new Team("busy", 0, 0, 0, 0, 1);
        assertEquals(List.of("soon", "late"), servedJobs(displacementOrder(), jobs, idle, busy));
        assertEquals(List.of("late", "soon"), servedJobs(null, jobs, idle, busy));
    }

    /** Within a level, a team that uses less than its guarantee precedes others even if their jobs are due sooner. */
    @Test
    void teamsWithinTheirGuaranteesGoFirst() {
        List<Job> jobs = List.of(
                job("late", "l", "idle", Priority.HIGH, 90, 1),
                job("soon", "l", "busy", Priority.HIGH, 20, 2),
                job("urgent", "l", "busy", Priority.PROD, 99, 3));
        Team idle = new Team("idle", 10, 0, 0, 0, 1);
        Team busy = new Team("busy", 0, 0, 0, 0, 1);
        assertEquals(List.of("urgent", "late", "soon"), servedJobs(displacementOrder(), jobs, idle, busy));
    }

    /** A job that has waited for more than two minutes without a start precedes all others. */
    @Test
    void starvingJobsGoFirst() {
        Job starvingJob = job("old", "l", "busy", Priority.IDLE, 500, 1);
        starvingJob.waitingSinceS = -200;
        List<Job> jobs = List.of(job("soon", "l", "busy", Priority.PROD, 20, 2), starvingJob);
        assertEquals(List.of("old", "soon"), servedJobs(displacementOrder(), jobs, new Team("busy", 0, 0, 0, 0, 1)));
    }

    @Test
    void aNamedClassIsUrgentAtAnyPriority() {
        Job standardJob = fourJobs().get(2);
        assertTrue(DisplacementOrder.isUrgent(standardJob, List.of("stamma")));
        assertEquals(false, DisplacementOrder.isUrgent(standardJob, List.of()));
        assertTrue(DisplacementOrder.isUrgent(fourJobs().get(0), List.of()));
    }
}
