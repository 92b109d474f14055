package org.mountlug;

import java.util.List;
import org.mountlug.core.model.JobSpec;
import org.mountlug.core.model.JobType;
import org.mountlug.core.model.Priority;
import org.mountlug.core.model.Resources;

/** Describes a job field by field, from what the tests' jobs have in common. */
public final class JobSpecBuilder {
    private final String id;
    private String jobClass = "lane";
    private String team = "t";
    private JobType jobType = JobType.ARRAY;
    private Priority priority = Priority.STANDARD;
    private int tasks = 1;
    private Resources request = new Resources(2, 0, 8);
    private List<String> types;
    private String zone;
    private boolean oneZone;
    private boolean spreadAcrossZones;
    private double expectedS = 30;
    private double checkpointS = 15;
    private double deadlineS = Double.NaN;
    private long submittedMs;

    /** Begins with a job of one small task. */
    public JobSpecBuilder(String id) {
        this.id = id;
    }

    /** Begins with what another job has, under the same id. */
    public static JobSpecBuilder of(JobSpec spec) {
        JobSpecBuilder builder = new JobSpecBuilder(spec.id())
                .jobClass(spec.jobClass())
                .team(spec.team())
                .jobType(spec.jobType())
                .priority(spec.priority())
                .tasks(spec.tasks())
                .request(spec.request())
                .zone(spec.zone())
                .zoneRules(spec.oneZone(), spec.spreadAcrossZones())
                .runTimes(spec.expectedRunS(), spec.checkpointIntervalS())
                .submittedMs(spec.submittedMs());
        builder.types = spec.machineTypes();
        builder.deadlineS = spec.deadlineS();
        return builder;
    }

    /** Its class. */
    public JobSpecBuilder jobClass(String value) {
        jobClass = value;
        return this;
    }

    /** Its team. */
    public JobSpecBuilder team(String value) {
        team = value;
        return this;
    }

    /** Its shape. */
    public JobSpecBuilder jobType(JobType value) {
        jobType = value;
        return this;
    }

    /** Its priority. */
    public JobSpecBuilder priority(Priority value) {
        priority = value;
        return this;
    }

    /** How many tasks it has. */
    public JobSpecBuilder tasks(int value) {
        tasks = value;
        return this;
    }

    /** What each task takes. */
    public JobSpecBuilder request(Resources value) {
        request = value;
        return this;
    }

    /** The only zone that it may run in, null for any. */
    public JobSpecBuilder zone(String value) {
        zone = value;
        return this;
    }

    /** Whether all its tasks must be in one zone, or at most half of them may be. */
    public JobSpecBuilder zoneRules(boolean inOneZone, boolean keptApart) {
        oneZone = inOneZone;
        spreadAcrossZones = keptApart;
        return this;
    }

    /** The run time to expect, and after how many seconds it saves, 0 for never. */
    public JobSpecBuilder runTimes(double runS, double everyS) {
        expectedS = runS;
        checkpointS = everyS;
        return this;
    }

    /** When it was submitted. */
    public JobSpecBuilder submittedMs(long value) {
        submittedMs = value;
        return this;
    }

    /** The job as described. */
    public JobSpec build() {
        return new JobSpec(
                id,
                jobClass,
                team,
                jobType,
                priority,
                tasks,
                request,
                types,
                zone,
                oneZone,
                spreadAcrossZones,
                true,
                "img",
                1,
                expectedS,
                checkpointS,
                3,
                deadlineS,
                submittedMs);
    }
}
