package org.mountlug;

import java.util.List;
import org.mountlug.core.model.JobSpec;
import org.mountlug.core.model.Resources;
import org.mountlug.core.model.Shape;
import org.mountlug.core.model.Urgency;

/** Describes a job field by field, from what the tests' jobs have in common. */
public final class SpecBuilder {
    private final String id;
    private String lane = "lane";
    private String team = "t";
    private Shape shape = Shape.ARRAY;
    private Urgency urgency = Urgency.STANDARD;
    private int tasks = 1;
    private Resources need = new Resources(2, 0, 8);
    private List<String> types;
    private String zone;
    private boolean oneZone;
    private boolean apart;
    private double expectedS = 30;
    private double checkpointS = 15;
    private double deadlineS = Double.NaN;
    private long submittedMs;

    /** Begins with a job of one small task. */
    public SpecBuilder(String id) {
        this.id = id;
    }

    /** Begins with what another job has, under the same id. */
    public static SpecBuilder of(JobSpec spec) {
        SpecBuilder builder = new SpecBuilder(spec.id())
                .lane(spec.lane())
                .team(spec.team())
                .shape(spec.shape())
                .urgency(spec.urgency())
                .tasks(spec.tasks())
                .need(spec.need())
                .zone(spec.zone())
                .rules(spec.oneZone(), spec.apart())
                .times(spec.expectedS(), spec.checkpointS())
                .submittedMs(spec.submittedMs());
        builder.types = spec.types();
        builder.deadlineS = spec.deadlineS();
        return builder;
    }

    /** Its class. */
    public SpecBuilder lane(String value) {
        lane = value;
        return this;
    }

    /** Its team. */
    public SpecBuilder team(String value) {
        team = value;
        return this;
    }

    /** Its shape. */
    public SpecBuilder shape(Shape value) {
        shape = value;
        return this;
    }

    /** Its priority. */
    public SpecBuilder urgency(Urgency value) {
        urgency = value;
        return this;
    }

    /** How many tasks it has. */
    public SpecBuilder tasks(int value) {
        tasks = value;
        return this;
    }

    /** What each task takes. */
    public SpecBuilder need(Resources value) {
        need = value;
        return this;
    }

    /** The only zone that it may run in, null for any. */
    public SpecBuilder zone(String value) {
        zone = value;
        return this;
    }

    /** Whether all its tasks must be in one zone, or at most half of them may be. */
    public SpecBuilder rules(boolean inOneZone, boolean keptApart) {
        oneZone = inOneZone;
        apart = keptApart;
        return this;
    }

    /** The run time to expect, and after how many seconds it saves, 0 for never. */
    public SpecBuilder times(double runS, double everyS) {
        expectedS = runS;
        checkpointS = everyS;
        return this;
    }

    /** When it was submitted. */
    public SpecBuilder submittedMs(long value) {
        submittedMs = value;
        return this;
    }

    /** The job as described. */
    public JobSpec build() {
        return new JobSpec(
                id,
                lane,
                team,
                shape,
                urgency,
                tasks,
                need,
                types,
                zone,
                oneZone,
                apart,
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
