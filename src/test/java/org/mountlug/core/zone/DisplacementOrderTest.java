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

/** The order in which waiting work is placed while a zone is away. */
class DisplacementOrderTest {
    private static final Resources NEED = new Resources(2, 0, 8);

    private final Map<String, Double> due = new HashMap<>();

    private Job job(String id, String lane, String team, Priority urgency, double dueS, long submittedMs) {
        JobSpec plain = Fixtures.spec(id, JobType.ARRAY, 4, NEED, urgency);
        Job job = new Job(Fixtures.withClassAndTeam(plain, lane, team, submittedMs));
        due.put(id, dueS);
        return job;
    }

    private DisplacementOrder order(String... classes) {
        return new DisplacementOrder(List.of(classes), job -> due.get(job.spec.id()));
    }

    private List<Job> four() {
        return List.of(
                job("proof", "korrektur", "t", Priority.HIGH, 50, 4),
                job("score", "partitur", "t", Priority.HIGH, 20, 3),
                job("parts", "stamma", "t", Priority.STANDARD, 10, 1),
                job("more-parts", "stamma", "t", Priority.STANDARD, 10, 2));
    }

    @ParameterizedTest(name = "[{0}] -> {1}")
    @CsvSource({
        "'', score proof parts more-parts", // priority, then what is due first, then the oldest
        "stamma, parts more-parts score proof",
        "korrektur stamma, proof parts more-parts score"
    })
    void classesThenPriorityThenDueThenAge(String classes, String expected) {
        List<Job> jobs = new ArrayList<>(four());
        Collections.shuffle(jobs, new Random(1));
        jobs.sort(order(classes.isEmpty() ? new String[0] : classes.split(" ")));
        assertEquals(
                expected,
                String.join(" ", jobs.stream().map(job -> job.spec.id()).toList()));
    }

    private List<String> served(DisplacementOrder order, List<Job> jobs, Team... teams) {
        Map<String, Team> byName = new HashMap<>();
        for (Team team : teams) {
            byName.put(team.name(), team);
        }
        Map<String, Resources> usage = new HashMap<>();
        usage.put("busy", new Resources(40, 0, 0));
        TeamQueues queues = new TeamQueues(
                jobs, job -> due.get(job.spec.id()), order, byName::get, usage, new Resources(100, 0, 0), 10);
        List<String> served = new ArrayList<>();
        for (Job job = queues.next(); job != null; job = queues.next()) {
            served.add(job.spec.id());
        }
        return served;
    }

    /** Between teams without a guarantee the order decides while a zone is away, and their use on other days. */
    @Test
    void theOrderDecidesBetweenTeamsBeyondTheirGuarantees() {
        List<Job> jobs =
                List.of(job("late", "l", "idle", Priority.HIGH, 90, 1), job("soon", "l", "busy", Priority.HIGH, 20, 2));
        Team idle = new Team("idle", 0, 0, 0, 0, 1);
        Team busy = new Team("busy", 0, 0, 0, 0, 1);
        assertEquals(List.of("soon", "late"), served(order(), jobs, idle, busy));
        assertEquals(List.of("late", "soon"), served(null, jobs, idle, busy));
    }

    /** A team inside its guarantee goes first at its level, whatever is due sooner elsewhere. */
    @Test
    void guaranteesStand() {
        List<Job> jobs = List.of(
                job("late", "l", "idle", Priority.HIGH, 90, 1),
                job("soon", "l", "busy", Priority.HIGH, 20, 2),
                job("urgent", "l", "busy", Priority.PROD, 99, 3));
        Team idle = new Team("idle", 10, 0, 0, 0, 1);
        Team busy = new Team("busy", 0, 0, 0, 0, 1);
        assertEquals(List.of("urgent", "late", "soon"), served(order(), jobs, idle, busy));
    }

    /** What has waited for two minutes without beginning goes ahead of the order. */
    @Test
    void whatHasNotBegunInTimeGoesFirst() {
        Job old = job("old", "l", "busy", Priority.IDLE, 500, 1);
        old.waitingSinceS = -200;
        List<Job> jobs = List.of(job("soon", "l", "busy", Priority.PROD, 20, 2), old);
        assertEquals(List.of("old", "soon"), served(order(), jobs, new Team("busy", 0, 0, 0, 0, 1)));
    }

    @Test
    void aNamedClassIsUrgentWhateverItsPriority() {
        Job parts = four().get(2);
        assertTrue(DisplacementOrder.isUrgent(parts, List.of("stamma")));
        assertEquals(false, DisplacementOrder.isUrgent(parts, List.of()));
        assertTrue(DisplacementOrder.isUrgent(four().get(0), List.of()));
    }
}
