package org.mountlug;

import java.util.List;
import org.mountlug.core.model.JobSpec;
import org.mountlug.core.model.JobType;
import org.mountlug.core.model.Priority;
import org.mountlug.core.model.Resources;

/** Builds a job specification for a test from defaults: an array of one small task. */
public final class JobSpecBuilder {
    private final String id;
    private String jobClass = "lane";
    private String team = "t";
    private JobType jobType = JobType.ARRAY;
    private Priority priority = Priority.STANDARD;
    private int tasks = 1;
    private Resources request = new Resources(2, 0, 8);
    private List<String> machineTypes;
    private String zone;
    private boolean oneZone;
    private boolean spreadAcrossZones;
    private double expectedRunS = 30;
    private double checkpointIntervalS = 15;
    private double deadlineS = Double.NaN;
    private long submittedMs;

    /** Creates a builder with the default values. */
    public JobSpecBuilder(String id) {
        this.id = id;
    }

    /**
     * Creates a builder with the id and the values of another specification; the image, the permission of spot machines and
     * the time to save a checkpoint are the same for all tests.
     */
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
        builder.machineTypes = spec.machineTypes();
        builder.deadlineS = spec.deadlineS();
        return builder;
    }

    /** Sets the job class. */
    public JobSpecBuilder jobClass(String value) {
        jobClass = value;
        return this;
    }

    /** Sets the name of the team. */
    public JobSpecBuilder team(String value) {
        team = value;
        return this;
    }

    /** Sets the job type. */
    public JobSpecBuilder jobType(JobType value) {
        jobType = value;
        return this;
    }

    /** Sets the priority. */
    public JobSpecBuilder priority(Priority value) {
        priority = value;
        return this;
    }

    /** Sets the number of tasks. */
    public JobSpecBuilder tasks(int value) {
        tasks = value;
        return this;
    }

    /** Sets the resource request of each task. */
    public JobSpecBuilder request(Resources value) {
        request = value;
        return this;
    }

    /** Sets the only zone that the tasks may run in, null for any. */
    public JobSpecBuilder zone(String value) {
        zone = value;
        return this;
    }

    /** Sets whether all tasks must run in the same zone, and whether at most half of them may run in the same zone. */
    public JobSpecBuilder zoneRules(boolean allInOneZone, boolean spread) {
        oneZone = allInOneZone;
        spreadAcrossZones = spread;
        return this;
    }

    /** Sets the expected run time and the checkpoint interval in seconds, 0 for no checkpoints. */
    public JobSpecBuilder runTimes(double runTimeS, double checkpointEveryS) {
        expectedRunS = runTimeS;
        checkpointIntervalS = checkpointEveryS;
        return this;
    }

    /** Sets the epoch time of the submission in milliseconds. */
    public JobSpecBuilder submittedMs(long value) {
        submittedMs = value;
        return this;
    }

    /** Returns the specification. */
    public JobSpec build() {
        return new JobSpec(
                id,
                jobClass,
                team,
                jobType,
                priority,
                tasks,
                request,
                machineTypes,
                zone,
                oneZone,
                spreadAcrossZones,
                true,
                "img",
                1,
                expectedRunS,
                checkpointIntervalS,
                3,
                deadlineS,
                submittedMs);
    }
}
